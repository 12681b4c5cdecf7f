package sidecar

import (
	"bytes"
	"math"
	"strconv"
	"sync"
)

// Detection of ambiguous message framing (RFC 9112, section 6.3). The HTTP library drops a Content-Length beside a
// Transfer-Encoding, and one of two equal ones, while an upstream may go by the one dropped and see a request where we see
// a body (request smuggling). So a client's connection follows the framing of its requests, and reports which are ambiguous.

// framingState is the part of a request that the next bytes belong to.
type framingState int

const (
	atStart framingState = iota // the request line
	inHead
	inBody      // of which left bytes are to come
	inChunkSize // the line before a chunk
	inChunk     // of which left bytes are to come, with its line end
	inTrailer
	unknownFraming // the end can't be determined: the library rejects it, or the connection is closed after its answer
)

// maxLineBytes is how many bytes of a line are examined; a longer length or encoding is ambiguous.
const maxLineBytes = 256

// framing follows the requests on one connection. scan is called by the goroutine that reads; the other methods are
// safe for concurrent use but for what they say.
type framing struct {
	state     framingState
	line      []byte
	remaining int64

	lengthHeaders, encodingHeaders int // number of length and encoding headers in this head
	contentLength                  int64
	ambiguous                      bool
	lastHeader                     byte // 'l' or 't' if the line before was a length or an encoding, else 0

	mu          sync.Mutex
	ambiguities []bool // whether each request read is ambiguous that the library has not delivered yet
	delivered   int    // number of requests that the library has delivered
}

// nextAmbiguous reports whether the request that the library delivers now is ambiguous. It is called once for each request.
func (f *framing) nextAmbiguous() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delivered++
	if len(f.ambiguities) == 0 { // its framing was not followed
		return true
	}
	d := f.ambiguities[0]
	f.ambiguities = f.ambiguities[1:]
	return d
}

// stage returns how far the requests have been read that the library has not delivered. Called by the reader.
func (f *framing) stage() connStage {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case len(f.ambiguities) > 0 || f.state > inHead:
		return headComplete
	case f.state == inHead || len(f.line) > 0:
		return partialHead
	}
	return betweenRequests
}

// pipelined reports whether bytes were read beyond the request delivered last. Called by the reader.
func (f *framing) pipelined() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.ambiguities) > 0 || f.state == inHead || f.state == atStart && len(f.line) > 0
}

// bodyIncomplete reports whether the request delivered last has not been read to its end. Called by the reader, or while it
// does not read.
func (f *framing) bodyIncomplete() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.ambiguities) == 0 && f.state > inHead
}

// firstRequest reports whether the request delivered last is the connection's first.
func (f *framing) firstRequest() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.delivered == 1
}

// firstRequestOnly reports whether at most one request has been delivered.
func (f *framing) firstRequestOnly() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.delivered < 2
}

// noRequest reports whether no request has been delivered.
func (f *framing) noRequest() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.delivered == 0
}

// scan follows bytes that were read.
func (f *framing) scan(p []byte) {
	for len(p) > 0 && f.state != unknownFraming {
		if f.state == inBody || f.state == inChunk {
			n := min(f.remaining, int64(len(p)))
			p, f.remaining = p[n:], f.remaining-n
			if f.remaining > 0 {
				return
			}
			if f.state == inBody {
				f.state = atStart
			} else {
				f.state = inChunkSize
			}
			continue
		}
		i := bytes.IndexByte(p, '\n')
		part := p
		if i >= 0 {
			part = p[:i]
		}
		f.line = append(f.line, part[:min(len(part), maxLineBytes-len(f.line))]...)
		if i < 0 {
			return
		}
		p = p[i+1:]
		f.handleLine(bytes.TrimSuffix(f.line, []byte("\r")))
		f.line = f.line[:0]
	}
}

// handleLine handles a complete line, without its line end.
func (f *framing) handleLine(line []byte) {
	switch f.state {
	case atStart:
		f.lengthHeaders, f.encodingHeaders, f.contentLength, f.ambiguous, f.lastHeader = 0, 0, 0, false, 0
		f.state = inHead
		if len(line) == 0 {
			f.state = unknownFraming
		}
	case inHead:
		if len(line) == 0 {
			f.endHead()
			return
		}
		f.handleHeader(line)
	case inChunkSize:
		size, _, _ := bytes.Cut(line, []byte(";"))
		n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 62)
		switch {
		case err != nil || len(line) >= maxLineBytes:
			f.state = unknownFraming
		case n == 0:
			f.state = inTrailer
		default: // the library checks the chunk's line end, which must be CR LF
			f.state, f.remaining = inChunk, int64(n)+2
		}
	case inTrailer:
		if len(line) == 0 {
			f.state = atStart
		}
	}
}

// handleHeader handles a header line.
func (f *framing) handleHeader(line []byte) {
	if line[0] == ' ' || line[0] == '\t' { // continues the line before
		f.ambiguous = f.ambiguous || f.lastHeader != 0
		return
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	f.lastHeader = 0
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		f.lastHeader = 'l'
		f.lengthHeaders++
		n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 63)
		f.contentLength = int64(min(n, math.MaxInt64))
		f.ambiguous = f.ambiguous || err != nil || len(line) >= maxLineBytes
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.lastHeader = 't'
		f.encodingHeaders++
		f.ambiguous = f.ambiguous || len(line) >= maxLineBytes
	}
}

// endHead handles the end of a head.
func (f *framing) endHead() {
	f.ambiguous = f.ambiguous || f.lengthHeaders > 1 || f.encodingHeaders > 1 || f.lengthHeaders > 0 && f.encodingHeaders > 0
	f.mu.Lock()
	f.ambiguities = append(f.ambiguities, f.ambiguous)
	f.mu.Unlock()
	switch {
	case f.ambiguous:
		f.state = unknownFraming
	case f.encodingHeaders > 0:
		f.state = inChunkSize
	case f.contentLength > 0:
		f.state, f.remaining = inBody, f.contentLength
	default:
		f.state = atStart
	}
}
