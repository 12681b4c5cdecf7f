package sidecar

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	maxBufferTime       = 100 * time.Millisecond // for an answer of unknown length to show that it is small
	transferBufferBytes = 32 << 10               // at a time, of an answer that is passed on as it comes
	minResponseRate     = 4 << 10                // bytes a second: what comes more slowly than that, over its stall, has no end to wait for
)

var transferBuffers = sync.Pool{New: func() any { return new([transferBufferBytes]byte) }}

// responseRest is what is still to come of an answer whose beginning is passed on. Whoever has it drops it.
type responseRest struct {
	body         io.ReadCloser
	length       int64         // of the whole answer; -1: not stated
	stallTimeout time.Duration // for the upstream to go on
	end          func()        // breaks a read off
	finish       func(reusable bool)
	reusable     bool // the connection may be used again after it
	once         sync.Once
	complete     bool

	bytesRead int64         // bytes read
	readTime  time.Duration // for them; what the client made us wait does not count
}

var errResponseTooLarge = errors.New("the answer does not come to its end")

// read reads what comes next, for as long as something does. Guards against answers that never end: bytes and time are bounded.
func (a *responseRest) read(p []byte) (int, error) {
	begun := time.Now()
	stalled := time.AfterFunc(a.stallTimeout+time.Duration(a.bytesRead)*time.Second/minResponseRate-a.readTime, a.end)
	defer stalled.Stop()
	n, err := a.body.Read(p)
	a.bytesRead, a.readTime = a.bytesRead+int64(n), a.readTime+time.Since(begun)
	a.complete = a.complete || errors.Is(err, io.EOF)
	if err == nil && a.bytesRead > maxBodyBytes {
		err = errResponseTooLarge
	}
	return n, err
}

// drop frees the connection, for another request if the answer was read to its end.
func (a *responseRest) drop() {
	a.once.Do(func() {
		_ = a.body.Close()
		a.finish(a.complete && a.reusable)
	})
}

// drop frees what a reply that is not passed on holds.
func (r *attemptReply) drop() {
	r.release()
	if r.rest != nil {
		r.rest.drop()
	}
}

// release lets go of what was read first.
func (r *attemptReply) release() {
	if r.reservedBytes > 0 {
		r.budget.release(r.reservedBytes)
	}
	r.reservedBytes, r.body = 0, nil
}

// readAnswer reads a 200 answer: all of a small one, or else its beginning, and the rest is to come. Where only the
// connection's end delimits one, an end in order is taken for it, as HTTP/1.1 has it; a reset is an error.
// It holds a part of the budget, until release.
func (u *upstreamPool) readAnswer(resp *http.Response) (body []byte, leading int64, complete bool, err error) {
	bound := int64(maxRetainedBytes)
	if resp.ContentLength >= 0 {
		bound = min(bound, resp.ContentLength)
	}
	bytesReserved := u.budget.reserve(bound)
	defer func() {
		if err == nil {
			leading = min(bytesReserved, int64(cap(body)))
		}
		u.budget.release(bytesReserved - leading)
	}()
	large := resp.ContentLength > bytesReserved
	begun := time.Now()
	body = make([]byte, 0, min(bytesReserved, minRetainedBytes))
	for {
		if int64(len(body)) == bytesReserved {
			if resp.ContentLength >= 0 {
				if !large { // its end shows with the next read
					_, err = io.ReadFull(resp.Body, make([]byte, 1))
					return body, 0, errors.Is(err, io.EOF), notEOF(err)
				}
			}
			return body, 0, false, nil
		}
		if len(body) == cap(body) {
			body = append(make([]byte, 0, min(bytesReserved, int64(2*cap(body)))), body...)
		}
		var n int
		n, err = resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, 0, true, nil
		case err != nil:
			return nil, 0, false, err
		case n > 0 && large, n > 0 && resp.ContentLength < 0 && time.Since(begun) > maxBufferTime:
			return body, 0, false, nil
		}
	}
}

func notEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}
