package sidecar

import (
	"bytes"
	"math"
	"strconv"
	"sync"
)

// Detection of ambiguous message framing (RFC 9112, section 6.3). net/http drops a Content-Length beside a
// Transfer-Encoding, and one of two equal Content-Lengths. An upstream may use the dropped header, and so read part of a
// body as a request (request smuggling). So a client's connection tracks the framing of its requests and reports ambiguous
// ones.

// framingState is the part of a request to which the next bytes belong.
type framingState int

const (
	atStart framingState = iota // the request line
	inHead
	inBody      // remaining bytes of the body are still to come
	inChunkSize // the line before a chunk
	inChunk     // remaining bytes of the chunk and its line end are still to come
	inTrailer
	unknownFraming // the end of the request is unknown: net/http rejects the request, or the connection is closed after its answer
)

// maxLineBytes is how many bytes of a line are examined; a longer Content-Length or Transfer-Encoding is ambiguous.
const maxLineBytes = 256

// framing tracks where the requests on one connection begin and end. Only the goroutine that reads the connection, the
// reader, calls scan; the other methods are safe for concurrent use unless they state otherwise.
type framing struct {
	state     framingState
	line      []byte
	remaining int64

	lengthHeaders, encodingHeaders int // number of Content-Length and Transfer-Encoding headers in this head
	contentLength                  int64
	ambiguous                      bool
	size                           headSize // of this head, or of the trailer that is read
	costlyLines                    int      // number of header lines beyond freeHeadLines that were read, and not taken
	lastHeader                     byte     // 'l' or 't' if the previous line was a Content-Length or a Transfer-Encoding, else 0

	mu        sync.Mutex
	heads     []readHead // of the requests that were read but that net/http has not delivered yet
	delivered int        // number of requests that net/http has delivered
}

// readHead is what is known of a head that was read to its end.
type readHead struct {
	ambiguous bool
	size      headSize
}

// nextHead returns the head of the request that net/http delivers now. It is called once for each request.
func (f *framing) nextHead() readHead {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delivered++
	if len(f.heads) == 0 { // the request's framing could not be tracked
		return readHead{ambiguous: true}
	}
	head := f.heads[0]
	f.heads = f.heads[1:]
	return head
}

// takeCostlyLines returns the number of header lines, of heads with many, that were read since the last call. It is called by the reader.
func (f *framing) takeCostlyLines() (lines int) {
	lines, f.costlyLines = f.costlyLines, 0
	return lines
}

// memory returns what the heads keep that net/http has not delivered yet, as far as they were read. It is called by the reader.
func (f *framing) memory() int64 {
	sum := int64(0)
	if f.state == inHead || f.state == inTrailer || f.state == atStart {
		sum = f.size.partialMemory()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, head := range f.heads {
		sum += head.size.partialMemory()
	}
	return sum
}

// stage returns how much has been read of the next request, the first that net/http has not delivered yet. It is called by
// the reader.
func (f *framing) stage() connStage {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case len(f.heads) > 0 || f.state > inHead:
		return headComplete
	case f.state == inHead || len(f.line) > 0:
		return partialHead
	}
	return betweenRequests
}

// pipelined reports whether bytes were read beyond the request delivered last. It is called by the reader.
func (f *framing) pipelined() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.heads) > 0 || f.state == inHead || f.state == atStart && len(f.line) > 0
}

// bodyIncomplete reports whether the request delivered last has not been read to its end. It is called by the reader, or
// while no scan is in progress.
func (f *framing) bodyIncomplete() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.heads) == 0 && f.state > inHead
}

// bodyRemaining returns how many bytes of the body of the request delivered last have not been read, or -1 if that is unknown, as
// for a chunked body. It is called like bodyIncomplete.
func (f *framing) bodyRemaining() int64 {
	switch {
	case !f.bodyIncomplete():
		return 0
	case f.state == inBody:
		return f.remaining
	}
	return -1
}

// firstRequest reports whether the request delivered last is the connection's first.
func (f *framing) firstRequest() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.delivered == 1
}

// firstRequestOnly reports whether no more than one request has been delivered.
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

// scan updates the state with bytes that were read.
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
		if f.state == atStart && len(f.line) == 0 {
			f.size = headSize{}
		}
		f.line = append(f.line, part[:min(len(part), maxLineBytes-len(f.line))]...)
		f.size.bytes += int64(len(part))
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
	if f.size.lines++; f.size.lines > freeHeadLines && (f.state == inHead || f.state == inTrailer) {
		f.costlyLines++
	}
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
			f.state, f.size = inTrailer, headSize{}
		default: // after the chunk come CR and LF, which net/http checks
			f.state, f.remaining = inChunk, int64(n)+2
		}
	case inTrailer:
		if len(line) == 0 {
			f.state = atStart // the size stays until the next request begins, since the request in flight keeps its trailer
		}
	}
}

// handleHeader handles a header line.
func (f *framing) handleHeader(line []byte) {
	if line[0] == ' ' || line[0] == '\t' { // continues the previous line
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

// endHead handles the empty line that ends a head.
func (f *framing) endHead() {
	f.ambiguous = f.ambiguous || f.lengthHeaders > 1 || f.encodingHeaders > 1 || f.lengthHeaders > 0 && f.encodingHeaders > 0
	f.mu.Lock()
	f.heads = append(f.heads, readHead{f.ambiguous, f.size})
	f.mu.Unlock()
	f.size = headSize{}
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
