package sidecar

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	maxBufferTime       = 100 * time.Millisecond // for an answer of unknown length to end, before it is streamed
	transferBufferBytes = 32 << 10               // of a streamed answer at a time
	minResponseRate     = 4 << 10                // bytes per second: a slower answer is given up after its stall time-out
)

var transferBuffers = sync.Pool{New: func() any { return new([transferBufferBytes]byte) }}

// responseRest is the rest of an answer whose start has been read. Its owner must drop it.
type responseRest struct {
	body         io.ReadCloser
	length       int64         // of the whole answer; -1: not stated
	stallTimeout time.Duration // for the upstream to send more
	cancelRead   func()        // cuts a read short
	finish       func(reusable bool)
	reusable     bool // the connection can be used again after it
	dropOnce     sync.Once
	complete     bool

	bytesRead int64
	readTime  time.Duration // time spent in reads, without the waits for the client
}

var errResponseTooLarge = errors.New("the answer does not come to its end")

// read reads the next part. Size and time are bounded, against answers that never end.
func (a *responseRest) read(p []byte) (int, error) {
	begun := time.Now()
	stalled := time.AfterFunc(a.stallTimeout+time.Duration(a.bytesRead)*time.Second/minResponseRate-a.readTime, a.cancelRead)
	defer stalled.Stop()
	n, err := a.body.Read(p)
	a.bytesRead, a.readTime = a.bytesRead+int64(n), a.readTime+time.Since(begun)
	a.complete = a.complete || errors.Is(err, io.EOF)
	if err == nil && a.bytesRead > maxBodyBytes {
		err = errResponseTooLarge
	}
	return n, err
}

// drop frees the connection, for another request if the answer was read to its end. It may be called more than once.
func (a *responseRest) drop() {
	a.dropOnce.Do(func() {
		_ = a.body.Close()
		a.finish(a.complete && a.reusable)
	})
}

// drop frees the resources of a reply that is not passed on.
func (r *attemptReply) drop() {
	r.release()
	if r.rest != nil {
		r.rest.drop()
	}
}

// release releases the start of the answer.
func (r *attemptReply) release() {
	if r.reservedBytes > 0 {
		r.budget.release(r.reservedBytes)
	}
	r.reservedBytes, r.body = 0, nil
}

// readAnswer reads a small answer completely, and the start of a large one. An answer without a length ends with the
// connection, if that is closed and not reset. The reply holds a part of the budget until release.
func (u *upstreamPool) readAnswer(resp *http.Response) (body []byte, retained int64, complete bool, err error) {
	bound := int64(maxRetainedBytes)
	if resp.ContentLength >= 0 {
		bound = min(bound, resp.ContentLength)
	}
	reserved := u.budget.reserve(bound)
	defer func() {
		if err == nil {
			retained = min(reserved, int64(cap(body)))
		}
		u.budget.release(reserved - retained)
	}()
	large := resp.ContentLength > reserved
	begun := time.Now()
	body = make([]byte, 0, min(reserved, minRetainedBytes))
	for {
		if int64(len(body)) == reserved {
			if resp.ContentLength >= 0 {
				if !large { // the next read reports the end
					_, err = io.ReadFull(resp.Body, make([]byte, 1))
					return body, 0, errors.Is(err, io.EOF), notEOF(err)
				}
			}
			return body, 0, false, nil
		}
		if len(body) == cap(body) {
			body = append(make([]byte, 0, min(reserved, int64(2*cap(body)))), body...)
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
