package sidecar

import (
	"errors"
	"io"
	"sync"
	"time"
)

const (
	maxTransferBytes = 32 << 10 // bytes of a streamed answer that are read at a time
	minTransferBytes = 4 << 10  // the same while memory is short
	minResponseRate  = 4 << 10  // bytes per second: a slower answer is aborted after its stall time-out
)

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

	bytesRead int64         // including the start
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

// release returns the bytes that are reserved for the start of the answer.
func (r *attemptReply) release() {
	if r.reservedBytes > 0 {
		r.memory.release(r.reservedBytes)
	}
	r.reservedBytes, r.body = 0, nil
}
