package sidecar

import (
	"errors"
	"io"
	"sync/atomic"
)

// bodyReader reads a body for one attempt.
type bodyReader struct {
	body      *clientBody
	retained  []byte
	delivered atomic.Int64 // number of bytes returned by Read
	complete  atomic.Bool  // Read has reported the end of the body
}

// Close implements io.Closer. The body belongs to its request, and stays open.
func (r *bodyReader) Close() error { return nil }

// incomplete reports whether some of the body has not been passed to the writer, so that no upstream can have all of it.
func (r *bodyReader) incomplete() bool {
	return !r.complete.Load() && r.delivered.Load() != r.body.length
}

// stop ends the reading of the rest by this reader, so that another attempt can have it. It reports whether some of a body that has
// a rest has not been passed to the writer. If so, no upstream will get all of the body from this attempt.
func (r *bodyReader) stop() (incomplete bool) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.owner == r {
		b.owner = nil
	}
	return b.rest != nil && r.incomplete()
}

// Read implements io.Reader. It reads from the retained bytes, then from the client.
func (r *bodyReader) Read(p []byte) (int, error) {
	switch {
	case len(r.retained) > 0:
		n := copy(p, r.retained)
		r.retained = r.retained[n:]
		r.delivered.Add(int64(n))
		return n, nil
	case r.body.rest == nil:
		r.complete.Store(true)
		return 0, io.EOF
	}
	return r.readRest(p)
}

// readRest reads from the client.
func (r *bodyReader) readRest(p []byte) (int, error) {
	if err := r.mayRead(); err != nil { // checked first, since a read of the owner may take long
		return 0, err
	}
	b := r.body
	b.readMu.Lock()
	defer b.readMu.Unlock()
	if err := r.beginRead(); err != nil {
		return 0, err
	}
	n, err := b.rest.Read(p)
	return r.endRead(n, err)
}

// mayRead returns the reason why this reader may not read the rest, or nil if it may.
func (r *bodyReader) mayRead() error {
	r.body.mu.Lock()
	defer r.body.mu.Unlock()
	return r.mayReadLocked()
}

// mayReadLocked is mayRead for a caller that holds the body's mu. The library reads once more after the last byte of a body with a
// length: that read reports the end, whoever is the owner by then.
func (r *bodyReader) mayReadLocked() error {
	switch {
	case r.body.owner == r:
		return nil
	case r.delivered.Load() == r.body.length:
		return io.EOF
	}
	return errAttemptEnded
}

// beginRead returns the reason why the rest can't be read now, or nil if it can; it is consumed from then on.
func (r *bodyReader) beginRead() error {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := r.mayReadLocked(); err != nil {
		return err
	}
	switch {
	case b.err != nil:
		return b.err
	case b.ended:
		r.complete.Store(true)
		return io.EOF
	}
	b.consumed = true
	return nil
}

// endRead records the result of a read, and returns what Read returns. What was read is lost if another attempt has the body by now.
func (r *bodyReader) endRead(n int, err error) (int, error) {
	b := r.body
	b.mu.Lock()
	b.restBytes += int64(n)
	if b.restBytes+int64(len(b.retained)) > maxBodyBytes && err == nil {
		err = errBodyLarge
	}
	ended := errors.Is(err, io.EOF)
	switch {
	case ended:
		b.ended = true
	case err != nil:
		b.err = err
	}
	isOwner := b.owner == r
	if isOwner { // with mu locked, see stop
		r.delivered.Add(int64(n))
		r.complete.Store(ended)
	}
	b.mu.Unlock()
	switch {
	case ended:
		b.onComplete()
	case err != nil:
		b.onError(err)
	}
	if !isOwner {
		return 0, errAttemptEnded
	}
	return n, err
}
