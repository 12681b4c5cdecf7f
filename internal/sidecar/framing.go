package sidecar

import (
	"bytes"
	"math"
	"strconv"
	"sync"
)

// The HTTP library drops a Content-Length that stands beside Transfer-Encoding, and one of two that are equal. Another
// reader of the same bytes may go by the one dropped, and see a request where we see a body. So a client's connection
// follows the framing of what is read from it, and says of each request whether its head leaves its end in doubt.

type framingState int

const (
	atStart framingState = iota // of a request's first line
	inHead
	inBody      // left bytes of it to come
	inChunkSize // a line
	inChunk     // left bytes of it, with its line end, to come
	inTrailer
	unknownFraming // what comes can't be told: the library turns it down, or the connection ends with its answer
)

// headLine is how much of a line is looked at; a length or an encoding that takes more is in doubt.
const headLine = 256

// framing follows the requests on one connection. The library reads, handlers ask.
type framing struct {
	state framingState
	line  []byte
	left  int64

	lengths, codings int // in this head
	length           int64
	ambiguous        bool
	lastHeader       byte // which of the two the header line before was: l, t or another

	mu          sync.Mutex
	ambiguities []bool // of requests that the library has not handed on yet
	handedOn    int    // requests that it has
}

// nextAmbiguous tells whether the request that the library hands on now has an end in doubt. It is asked once for each.
func (f *framing) nextAmbiguous() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.handedOn++
	if len(f.ambiguities) == 0 { // never followed: it can't be vouched for
		return true
	}
	d := f.ambiguities[0]
	f.ambiguities = f.ambiguities[1:]
	return d
}

// stage tells what was read of requests that the library has not handed on. The reader asks.
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

// pipelined tells whether something was read behind the request that the library has handed on. The reader asks.
func (f *framing) pipelined() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.ambiguities) > 0 || f.state == inHead || f.state == atStart && len(f.line) > 0
}

// bodyIncomplete tells whether the request that the library handed on last has not come to its end, so that what is read can only be more
// of it. The reader asks, or who holds it off.
func (f *framing) bodyIncomplete() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.ambiguities) == 0 && f.state > inHead
}

// firstRequest tells whether the request that was asked about last was the connection's first.
func (f *framing) firstRequest() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.handedOn == 1
}

// firstRequestOnly tells whether no request was handed on but the first.
func (f *framing) firstRequestOnly() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.handedOn < 2
}

// noRequest tells whether no request was handed on yet.
func (f *framing) noRequest() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.handedOn == 0
}

func (f *framing) scan(p []byte) {
	for len(p) > 0 && f.state != unknownFraming {
		if f.state == inBody || f.state == inChunk {
			n := min(f.left, int64(len(p)))
			p, f.left = p[n:], f.left-n
			if f.left > 0 {
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
		f.line = append(f.line, part[:min(len(part), headLine-len(f.line))]...)
		if i < 0 {
			return
		}
		p = p[i+1:]
		f.handle(bytes.TrimSuffix(f.line, []byte("\r")))
		f.line = f.line[:0]
	}
}

// handle takes in a line without its end.
func (f *framing) handle(line []byte) {
	switch f.state {
	case atStart:
		f.lengths, f.codings, f.length, f.ambiguous, f.lastHeader = 0, 0, 0, false, 0
		f.state = inHead
		if len(line) == 0 {
			f.state = unknownFraming
		}
	case inHead:
		if len(line) == 0 {
			f.head()
			return
		}
		f.header(line)
	case inChunkSize:
		size, _, _ := bytes.Cut(line, []byte(";"))
		n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 62)
		switch {
		case err != nil || len(line) >= headLine:
			f.state = unknownFraming
		case n == 0:
			f.state = inTrailer
		default: // the line end of the chunk is checked by the library, and may be LF alone nowhere
			f.state, f.left = inChunk, int64(n)+2
		}
	case inTrailer:
		if len(line) == 0 {
			f.state = atStart
		}
	}
}

func (f *framing) header(line []byte) {
	if line[0] == ' ' || line[0] == '\t' { // goes on with the line before
		f.ambiguous = f.ambiguous || f.lastHeader != 0
		return
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	f.lastHeader = 0
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		f.lastHeader = 'l'
		f.lengths++
		n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 63)
		f.length = int64(min(n, math.MaxInt64))
		f.ambiguous = f.ambiguous || err != nil || len(line) >= headLine
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.lastHeader = 't'
		f.codings++
		f.ambiguous = f.ambiguous || len(line) >= headLine
	}
}

// head ends a request's head.
func (f *framing) head() {
	f.ambiguous = f.ambiguous || f.lengths > 1 || f.codings > 1 || f.lengths > 0 && f.codings > 0
	f.mu.Lock()
	f.ambiguities = append(f.ambiguities, f.ambiguous)
	f.mu.Unlock()
	switch {
	case f.ambiguous:
		f.state = unknownFraming
	case f.codings > 0:
		f.state = inChunkSize
	case f.length > 0:
		f.state, f.left = inBody, f.length
	default:
		f.state = atStart
	}
}
