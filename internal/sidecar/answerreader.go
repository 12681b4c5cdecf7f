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
	maxBufferTime = 100 * time.Millisecond // how long an answer of unknown length is held back before it is streamed
	// passOnMargin is how long before the end of its attempt an answer is passed on at the latest. It covers the two ticks by which
	// the balancer abandons a request before it expires.
	passOnMargin = 30 * time.Millisecond
)

// answerStart is what has been read of an answer before it is passed on: a small answer completely, or the start of a large one.
type answerStart struct {
	body     []byte
	retained int64         // bytes that are reserved for body
	rest     io.ReadCloser // nil if the answer is complete
}

// answerReader reads the start of an answer. An answer without a length ends with the connection, if that is closed and not reset.
type answerReader struct {
	body     *pausableBody
	length   int64     // -1 if not stated
	limit    int64     // bytes that may be held
	deadline time.Time // when the attempt ends; zero if that is not known
	held     *heldAnswer
	buf      []byte
}

// readAnswer reads a small answer completely, and the start of a large one. The caller returns the retained bytes to the account.
func (u *upstreamPool) readAnswer(resp *http.Response, deadline time.Time, held *heldAnswer) (start answerStart, err error) {
	bound := int64(maxRetainedBytes)
	if resp.ContentLength >= 0 {
		bound = min(bound, resp.ContentLength)
	}
	extra := u.memory.reserveUpTo(max(0, bound-minRetainedBytes), useTransfers)
	defer func() {
		if err == nil {
			start.retained = min(extra, int64(max(0, cap(start.body)-minRetainedBytes)))
		}
		u.memory.release(extra - start.retained)
	}()
	reserved := min(bound, minRetainedBytes) + extra
	r := &answerReader{body: &pausableBody{body: resp.Body}, length: resp.ContentLength, limit: reserved, deadline: deadline, held: held,
		buf: make([]byte, 0, min(reserved, minRetainedBytes))}
	complete, err := r.readStart()
	if err != nil {
		return answerStart{}, err
	}
	start.body = r.buf
	if !complete {
		start.rest = r.body
	}
	return start, nil
}

// readStart reads until the answer is complete or is to be streamed.
func (r *answerReader) readStart() (complete bool, err error) {
	switch {
	case r.length > r.limit:
		return r.readFirst()
	case r.length >= 0:
		return r.readSized()
	}
	return r.readUnsized()
}

// readFirst reads the first bytes of an answer that is too long to be held, and is streamed at once.
func (r *answerReader) readFirst() (complete bool, err error) {
	for !complete && err == nil && len(r.buf) == 0 {
		complete, err = r.readPart(time.Time{})
	}
	return complete, err
}

// readSized reads an answer whose length is stated, and may be held.
func (r *answerReader) readSized() (complete bool, err error) {
	for !complete && err == nil && int64(len(r.buf)) < r.length {
		complete, err = r.readPart(time.Time{})
	}
	if complete || err != nil {
		return complete, err
	}
	_, err = io.ReadFull(r.body, make([]byte, 1)) // reports the end
	return errors.Is(err, io.EOF), notEOF(err)
}

// readUnsized reads an answer of unknown length, until it is complete, fills the buffer, or has been held for long enough.
func (r *answerReader) readUnsized() (complete bool, err error) {
	passOnAt := time.Time{} // zero until the first bytes have come
	for !complete && err == nil && int64(len(r.buf)) < r.limit {
		complete, err = r.readPart(passOnAt)
		if passOnAt.IsZero() && len(r.buf) > 0 {
			passOnAt = passOnTime(time.Now(), r.deadline)
		}
	}
	if errors.Is(err, errReadPaused) {
		return false, nil
	}
	return complete, err
}

// readPart reads the next part of the answer, and waits for it until a time, or for as long as it takes if that is zero.
func (r *answerReader) readPart(until time.Time) (complete bool, err error) {
	if len(r.buf) == cap(r.buf) { // the buffer is enlarged here, since append could enlarge it beyond the reservation
		r.buf = append(make([]byte, 0, min(r.limit, int64(2*cap(r.buf)))), r.buf...)
	}
	var n int
	spare := r.buf[len(r.buf):cap(r.buf)]
	if until.IsZero() {
		n, err = r.body.Read(spare)
	} else {
		n, err = r.body.readUntil(spare, until)
	}
	r.buf = r.buf[:len(r.buf)+n]
	r.held.add(n)
	return errors.Is(err, io.EOF), notEOF(err)
}

// passOnTime returns when an answer is passed on whose first bytes came at a time, and whose attempt ends at deadline unless that is zero.
func passOnTime(first, deadline time.Time) time.Time {
	passOnAt := first.Add(maxBufferTime)
	if latest := deadline.Add(-passOnMargin); !deadline.IsZero() && latest.Before(passOnAt) {
		return latest
	}
	return passOnAt
}

// errReadPaused is the error of a read that has got nothing by its time.
var errReadPaused = errors.New("the upstream pauses")

// pausableBody reads an answer in parts. A wait for the next part can be interrupted without losing that part. One goroutine at a time
// reads; Close may be called at the same time, and ends a read that is in progress.
type pausableBody struct {
	body    io.ReadCloser
	buf     []byte        // for reads that can be interrupted
	pending chan partRead // receives the result of such a read while it is in progress; nil if there is none
	part    partRead      // what such a read has got and the caller has not
}

// partRead is the result of a read.
type partRead struct {
	bytes []byte
	err   error
}

// readUntil is like Read, but fails with errReadPaused if nothing has come by a time. p must not be empty.
func (b *pausableBody) readUntil(p []byte, until time.Time) (int, error) {
	if b.hasPart() {
		return b.takePart(p)
	}
	if b.pending == nil {
		b.startRead()
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case b.part = <-b.pending:
		b.pending = nil
		return b.takePart(p)
	case <-timer.C:
		return 0, errReadPaused
	}
}

// startRead starts a read in a goroutine, which ends once bytes come or the body is closed.
func (b *pausableBody) startRead() {
	if b.buf == nil {
		b.buf = make([]byte, minRetainedBytes)
	}
	body, buf, pending := b.body, b.buf, make(chan partRead, 1)
	b.pending = pending
	go func() {
		n, err := body.Read(buf)
		pending <- partRead{buf[:n], err}
	}()
}

// Read implements io.Reader.
func (b *pausableBody) Read(p []byte) (int, error) {
	if b.pending != nil {
		b.part = <-b.pending
		b.pending = nil
	}
	if b.hasPart() {
		return b.takePart(p)
	}
	return b.body.Read(p)
}

// hasPart reports whether an interrupted read has got something that the caller has not.
func (b *pausableBody) hasPart() bool { return len(b.part.bytes) > 0 || b.part.err != nil }

// takePart returns bytes of part, and its error with the last of them.
func (b *pausableBody) takePart(p []byte) (int, error) {
	n := copy(p, b.part.bytes)
	b.part.bytes = b.part.bytes[n:]
	if len(b.part.bytes) > 0 {
		return n, nil
	}
	return n, b.part.err
}

// Close implements io.Closer.
func (b *pausableBody) Close() error { return b.body.Close() }

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

func notEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}
