package sidecar

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxRetainedBytes = 64 << 10 // of a body or an answer: kept, so that another attempt can be made
	minRetainedBytes = 4 << 10  // where the budget is spent
	maxBodyBytes     = 32 << 20 // what a request or an answer may hold
	budgetFraction   = 0.25     // of the memory limit, for what is kept of all bodies and answers
	minBodyRate      = 48 << 10 // bytes a second; clients that send slowly owe 64 kB, and a machine may be late by a quarter
	// A body's first bytes are owed this long after its head, and at most this much of a peer's 3 s is used up.
	bodyStartTimeout = 700 * time.Millisecond
)

// byteBudget bounds the bytes that are retained of all bodies and answers together.
type byteBudget struct {
	mu   sync.Mutex
	left int64
}

// reserve allows as many bytes as are left, up to most, and minRetainedBytes at the least: connections are bounded, too.
func (b *byteBudget) reserve(bound int64) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(bound, max(minRetainedBytes, b.left))
	b.left -= n
	return n
}

func (b *byteBudget) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left += n
}

var (
	errAttemptEnded = errors.New("the attempt that the body was for has ended")
	errBodyLarge    = errors.New("the body is too large")
)

// clientBody is a request's body: what is retained of it, and what is still to come from the client.
type clientBody struct {
	retained []byte
	length   int64 // -1: not stated
	reserved int64 // of the budget
	budget   *byteBudget

	rest       io.Reader // of the rest; nil: all is kept
	onComplete func()    // the last byte has come
	onError    func(error)

	reading  sync.Mutex // held while the rest is read
	mu       sync.Mutex
	consumed bool  // an attempt has taken some of the rest
	ended    bool  // the rest has come to its end
	err      error // or was broken off by the client
	seen     int64
	turn     int // which attempt may read
}

// receiving tells whether some of the body is still to come.
func (b *clientBody) receiving() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rest != nil && !b.ended
}

// endAttempt ends the reading for an attempt that has ended, and tells whether no other can be made.
func (b *clientBody) endAttempt() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn++ // else it could still take some of the rest, which the next attempt would lack
	return b.consumed
}

// failed is what broke the body off on the client's side, or nil.
func (b *clientBody) failed() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// reader is the body for another attempt; the one before reads no more. One that is spent is not to be had again.
func (b *clientBody) reader() io.ReadCloser {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn++
	if b.consumed {
		return &bodyReader{body: b} // of no turn
	}
	return &bodyReader{body: b, turn: b.turn, retained: b.retained}
}

// endReading ends reading for attempts: the request has its answer.
func (b *clientBody) endReading() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn++
}

// drain reads away what the client still sends: it may not look for its answer before. Patience is up to the source.
func (b *clientBody) drain() {
	b.endReading()
	b.reading.Lock()
	defer b.reading.Unlock()
	_, _ = io.CopyN(io.Discard, b.rest, maxBodyBytes) // an end of any kind is as good
}

// release gives back the budget.
func (b *clientBody) release() {
	b.budget.release(b.reserved)
	b.reserved = 0
}

// bodyReader is one attempt's view of a body.
type bodyReader struct {
	body      *clientBody
	turn      int
	retained  []byte
	delivered atomic.Int64 // bytes
	ended     atomic.Bool  // no more are to come
}

// Close implements io.Closer. The body belongs to its request, and stays open.
func (r *bodyReader) Close() error { return nil }

// incomplete tells whether some of the body has not gone to the writer yet, so that no upstream can have it whole.
func (r *bodyReader) incomplete() bool { return !r.ended.Load() && r.delivered.Load() != r.body.length }

func (r *bodyReader) Read(p []byte) (int, error) {
	n, err := r.next(p)
	r.delivered.Add(int64(n))
	if err != nil {
		r.ended.Store(true)
	}
	return n, err
}

func (r *bodyReader) next(p []byte) (int, error) {
	if r.turn == 0 {
		return 0, errAttemptEnded
	}
	if len(r.retained) > 0 {
		n := copy(p, r.retained)
		r.retained = r.retained[n:]
		return n, nil
	}
	b := r.body
	if b.rest == nil {
		return 0, io.EOF
	}
	b.reading.Lock()
	defer b.reading.Unlock()
	b.mu.Lock()
	switch {
	case b.turn != r.turn:
		b.mu.Unlock()
		return 0, errAttemptEnded
	case b.err != nil || b.ended:
		err := b.err
		b.mu.Unlock()
		if err == nil {
			err = io.EOF
		}
		return 0, err
	}
	b.consumed = true
	b.mu.Unlock()
	n, err := b.rest.Read(p)
	b.mu.Lock()
	b.seen += int64(n)
	if b.seen+int64(len(b.retained)) > maxBodyBytes && err == nil {
		err = errBodyLarge
	}
	cut := b.turn != r.turn
	switch {
	case errors.Is(err, io.EOF):
		b.ended = true
	case err != nil:
		b.err = err
	}
	b.mu.Unlock()
	switch {
	case errors.Is(err, io.EOF):
		b.onComplete()
	case err != nil:
		b.onError(err)
	}
	if cut {
		return 0, errAttemptEnded
	}
	return n, err
}

// rateLimitedReader reads a client's body for as long as it makes progress. The time that an upstream makes
// us wait does not count, as it would with http.Server's ReadTimeout.
type rateLimitedReader struct {
	body     io.Reader
	conn     *http.ResponseController
	timeLeft time.Duration // timeout, before what the bytes to come add
}

// newRateLimitedReader begins a body's timeout. A peer that never sent a request is owed an answer or a close within 3 s of
// connecting: accepted is when that was, or the zero time for one that did.
func newRateLimitedReader(body io.Reader, conn *http.ResponseController, accepted time.Time) *rateLimitedReader {
	left := requestTimeout
	if !accepted.IsZero() {
		left = max(bodyStartTimeout, requestTimeout-time.Since(accepted))
	}
	return &rateLimitedReader{body: body, conn: conn, timeLeft: left}
}

func (r *rateLimitedReader) Read(p []byte) (int, error) {
	begun := time.Now()
	_ = r.conn.SetReadDeadline(begun.Add(r.timeLeft)) // can't fail on the server's own connection; a read would show it
	n, err := r.body.Read(p)
	r.timeLeft += time.Duration(n)*time.Second/minBodyRate - time.Since(begun)
	if errors.Is(err, io.EOF) {
		_ = r.conn.SetReadDeadline(time.Time{}) // from now on it is read to see whether the client leaves
	}
	return n, err
}

// readBody reads a body up to what is kept. A rest, if there is one, is to be read by attempts.
func readBody(r *http.Request, conn *http.ResponseController, accepted time.Time, all *byteBudget) (*clientBody, error) {
	b := &clientBody{length: r.ContentLength, budget: all}
	if r.ContentLength == 0 {
		return b, nil
	}
	bound := int64(maxRetainedBytes)
	if b.length > 0 {
		bound = min(bound, b.length)
	}
	b.reserved = all.reserve(bound)
	from := newRateLimitedReader(r.Body, conn, accepted)
	buf := make([]byte, 0, min(b.reserved, minRetainedBytes))
	for {
		if int64(len(buf)) == b.length { // the library has seen the end with its last byte, or does now
			b.retained = buf
			_, err := from.Read(make([]byte, 1))
			if !errors.Is(err, io.EOF) {
				b.release()
				return nil, errors.Join(errors.New("the body does not end with its length"), err)
			}
			return b, nil
		}
		if int64(len(buf)) == b.reserved {
			b.retained, b.rest = buf, from
			return b, nil
		}
		if len(buf) == cap(buf) { // by an operator, to double exactly and not beyond the budget; small bodies of unknown length stay small
			buf = append(make([]byte, 0, min(b.reserved, int64(2*cap(buf)))), buf...)
		}
		n, err := from.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case errors.Is(err, io.EOF):
			b.retained, b.length = buf, int64(len(buf))
			return b, nil
		case err != nil:
			b.release()
			return nil, err
		}
	}
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
