package sidecar

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	maxRetainedBytes = 64 << 10 // maximum size of the retained part of a body or answer, which can be sent again
	minRetainedBytes = 4 << 10  // size of the part that is retained even if no memory is left; requestMemory includes it
	maxBodyBytes     = 32 << 20 // maximum size of the body of a request or an answer
	minBodyRate      = 48 << 10 // bytes per second: clients must send 64 kB/s, and a quarter less is allowed for a busy machine
	// bodyStartTimeout is the minimum time allowed for the first bytes of a body after its head.
	bodyStartTimeout = 700 * time.Millisecond
)

var (
	errAttemptEnded = errors.New("another attempt has the body, or the request is answered")
	errBodyLarge    = errors.New("the body is too large")
)

// clientBody is the body of a request: its retained start, and the rest that is still to be read from the client. Each attempt
// reads it through a bodyReader of its own. One of them at a time, the owner, may read the rest: the latest, unless an earlier one
// has read some of it. Its methods are safe for concurrent use.
type clientBody struct {
	retained []byte
	length   int64 // -1 if not stated

	rest       io.Reader   // nil if the complete body is retained
	onComplete func()      // called after the last byte
	onError    func(error) // called if reading from the client fails

	readMu    sync.Mutex // locked while the rest is read
	mu        sync.Mutex
	consumed  bool        // an attempt has read some of the rest
	ended     bool        // the rest has been read to its end
	err       error       // error of reading from the client
	restBytes int64       // number of bytes of the rest that were read
	owner     *bodyReader // the reader that may read the rest; nil if none may
}

// receiving reports whether some of the body is still to be read from the client.
func (b *clientBody) receiving() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rest != nil && !b.ended
}

// isConsumed reports whether some of the rest has been consumed, so that the body can't be sent again.
func (b *clientBody) isConsumed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.consumed
}

// readError returns the error with which reading from the client failed, or nil.
func (b *clientBody) readError() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// reader returns a reader of the body for the next attempt. It becomes the owner, unless some of the rest has been consumed: its
// first read then fails, and the attempt that consumed it goes on.
func (b *clientBody) reader() io.ReadCloser {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.consumed {
		return &bodyReader{body: b}
	}
	b.owner = &bodyReader{body: b, retained: b.retained}
	return b.owner
}

// endReading stops the reading of all attempts, once the request has been answered.
func (b *clientBody) endReading() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.owner = nil
}

// drain discards the rest of the body, as the processor has time for it, since a client may not read its answer before it has sent the
// body. The time-out of rest limits how long that takes.
func (b *clientBody) drain(starts *startQueue) {
	b.endReading()
	b.readMu.Lock()
	defer b.readMu.Unlock()
	starts.discard(b.rest, maxBodyBytes)
}

// rateCheckedReader reads a client's body as long as it arrives at minBodyRate or faster. Time during which no
// attempt reads, because an upstream is slow, does not count, unlike with http.Server's ReadTimeout.
type rateCheckedReader struct {
	body     io.Reader
	conn     *http.ResponseController
	timeLeft time.Duration // grows with each byte read
}

// newRateCheckedReader starts the time-out of a body. For the first request on a connection, arrivedAt is the earliest time
// at which the connection can have arrived. The time-out then counts from arrivedAt, since the request must be answered, or
// the connection closed, within requestTimeout of its arrival; but at least bodyStartTimeout is left. For later requests
// arrivedAt is zero.
func newRateCheckedReader(body io.Reader, conn *http.ResponseController, arrivedAt time.Time) *rateCheckedReader {
	timeLeft := requestTimeout
	if !arrivedAt.IsZero() {
		timeLeft = max(bodyStartTimeout, requestTimeout-time.Since(arrivedAt))
	}
	return &rateCheckedReader{body: body, conn: conn, timeLeft: timeLeft}
}

// Read implements io.Reader.
func (r *rateCheckedReader) Read(p []byte) (int, error) {
	start := time.Now()
	_ = r.conn.SetReadDeadline(start.Add(r.timeLeft)) // fails only on a broken connection, on which the read then fails too
	n, err := r.body.Read(p)
	r.timeLeft += time.Duration(n)*time.Second/minBodyRate - time.Since(start)
	if errors.Is(err, io.EOF) {
		_ = r.conn.SetReadDeadline(time.Time{}) // no deadline: net/http now reads to notice a disconnect
	}
	return n, err
}

// readBody reads the part of a body that is retained; attempts read the rest, if there is any. It fails with errNoMemory if there is a
// rest, and no memory to pass it on.
func readBody(r *http.Request, conn *http.ResponseController, arrivedAt time.Time, memory *requestReservation) (*clientBody, error) {
	b := &clientBody{length: r.ContentLength}
	if r.ContentLength == 0 {
		return b, nil
	}
	bound := int64(maxRetainedBytes)
	if b.length > 0 {
		bound = min(bound, b.length)
	}
	source := newRateCheckedReader(r.Body, conn, arrivedAt)
	limit := min(bound, minRetainedBytes)
	defer func() { memory.giveBack(limit - max(minRetainedBytes, int64(cap(b.retained)))) }()
	buf, extended := make([]byte, 0, limit), false
	for {
		if int64(len(buf)) == b.length { // net/http may report the end with the last byte, or only with the next read
			b.retained = buf
			_, err := source.Read(make([]byte, 1))
			if !errors.Is(err, io.EOF) {
				return nil, errors.Join(errors.New("the body does not end with its length"), err)
			}
			return b, nil
		}
		if int64(len(buf)) == limit && !extended {
			extra, ok := reserveBody(r, memory, bound-limit)
			if !ok {
				return nil, errNoMemory
			}
			limit, extended = limit+extra, true
		}
		if int64(len(buf)) == limit {
			b.retained, b.rest = buf, source
			return b, nil
		}
		if len(buf) == cap(buf) { // the buffer is enlarged here, since append could enlarge it beyond the reservation
			buf = append(make([]byte, 0, min(limit, int64(2*cap(buf)))), buf...)
		}
		n, err := source.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case errors.Is(err, io.EOF):
			b.retained, b.length = buf, int64(len(buf))
			return b, nil
		case err != nil:
			return nil, err
		}
	}
}

// reserveBody reserves the memory of a body of which more is to come than is retained in any case, and returns how much more may be
// retained, up to a number of bytes. A body that is retained completely is not passed on as it arrives. ok is false if it would have to be,
// and there is no memory for that.
func reserveBody(r *http.Request, memory *requestReservation, most int64) (extra int64, ok bool) {
	if r.ContentLength > 0 && r.ContentLength <= maxRetainedBytes && memory.tryReserve(most, useTransfers) {
		return most, true
	}
	if !memory.reserve(uploadMemory, firstOrLater(r, useFirstUpload, useUpload), maxMemoryWait, r.Context().Done()) {
		return 0, false
	}
	return memory.reserveUpTo(most, useTransfers), true
}

// isTimeout reports whether an error is an exceeded deadline of a connection.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
