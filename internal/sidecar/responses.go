package sidecar

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"
)

const (
	maxBufferTime       = 100 * time.Millisecond // how long an answer of unknown length is buffered before it is streamed
	transferBufferBytes = 32 << 10               // bytes of a streamed answer that are read at a time
	minResponseRate     = 4 << 10                // bytes per second: a slower answer is aborted after its stall time-out
)

var transferBuffers = sync.Pool{New: func() any { return new([transferBufferBytes]byte) }}

// responseRest is the rest of an answer whose start has been read. Its owner must call drop.
type responseRest struct {
	body         io.ReadCloser
	length       int64         // length of the complete answer; -1 if not stated
	stallTimeout time.Duration // how long the upstream may send nothing
	cancelRead   func()        // interrupts a read
	finish       func(reusable bool)
	reusable     bool // the connection can be used again after this answer
	dropOnce     sync.Once
	complete     bool

	bytesRead int64
	readTime  time.Duration // total duration of the reads, without the waits for the client
}

var errResponseTooLarge = errors.New("the answer is too large")

// read reads the next part. Size and time are bounded, since an answer might never end.
func (r *responseRest) read(p []byte) (int, error) {
	start := time.Now()
	stalled := time.AfterFunc(r.stallTimeout+time.Duration(r.bytesRead)*time.Second/minResponseRate-r.readTime, r.cancelRead)
	defer stalled.Stop()
	n, err := r.body.Read(p)
	r.bytesRead, r.readTime = r.bytesRead+int64(n), r.readTime+time.Since(start)
	r.complete = r.complete || errors.Is(err, io.EOF)
	if err == nil && r.bytesRead > maxBodyBytes {
		err = errResponseTooLarge
	}
	return n, err
}

// drop frees the connection, which can carry another request if the answer was read to its end. It may be called repeatedly.
func (r *responseRest) drop() {
	r.dropOnce.Do(func() {
		_ = r.body.Close()
		r.finish(r.complete && r.reusable)
	})
}

// drop frees the resources of a reply that has been written to the client, or will not be.
func (r *attemptReply) drop() {
	r.release()
	if r.rest != nil {
		r.rest.drop()
	}
}

// release returns the reserved bytes of the start of the answer to the budget.
func (r *attemptReply) release() {
	if r.reservedBytes > 0 {
		r.budget.release(r.reservedBytes)
	}
	r.reservedBytes, r.body = 0, nil
}

// heldAnswer is what an exchange has read of the body of an answer that it has not passed on. It is safe for concurrent use.
type heldAnswer struct {
	mu    sync.Mutex
	bytes int64
	since time.Time // when the first bytes were read
}

// add counts bytes that were read.
func (h *heldAnswer) add(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.bytes == 0 && n > 0 {
		h.since = time.Now()
	}
	h.bytes += int64(n)
}

// attrs returns log attributes: the number of bytes, and the time since the first ones. It returns nil if there are no bytes.
func (h *heldAnswer) attrs() []slog.Attr {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.bytes == 0 {
		return nil
	}
	return []slog.Attr{slog.Int64("held_bytes", h.bytes), millisecondsAttr("held_ms", time.Since(h.since))}
}

// countedBody is the body of an answer, whose reads are counted in held.
type countedBody struct {
	io.ReadCloser
	held *heldAnswer
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.held.add(n)
	return n, err
}

// readAnswer reads a small answer completely, and the start of a large one. An answer without a length ends with the
// connection, if that is closed and not reset. retained is the part of the budget that the reply occupies until release.
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
	start := time.Now()
	body = make([]byte, 0, min(reserved, minRetainedBytes))
	for {
		if int64(len(body)) == reserved {
			if resp.ContentLength >= 0 {
				if !large { // the answer is complete, and the next read must report its end
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
		case n > 0 && large, n > 0 && resp.ContentLength < 0 && time.Since(start) > maxBufferTime:
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
