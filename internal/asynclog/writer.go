// Package asynclog writes log lines in the background, so that whoever logs does not wait for a reader of the log that is slow or stands
// still.
package asynclog

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	maxQueuedBytes = 128 << 10 // bytes of the lines that wait; later ones are dropped
	// maxWriteBytes is the size of one write. A pipe that poll(2) reports as writable takes so many without blocking (PIPE_BUF).
	maxWriteBytes = 4 << 10
	pollInterval  = 10 * time.Millisecond // time between polls of a file that is not writable
)

// droppedLine is written in place of lines that were dropped.
const droppedLine = `{"time":%q,"level":"WARN","msg":"log lines dropped","component":"log","lines":%d}` + "\n"

// Writer queues what is written to it and writes it to a file in the background. It is safe for concurrent use.
type Writer struct {
	file *os.File

	mu      sync.Mutex
	changed *sync.Cond
	queue   []byte
	dropped int  // lines, since the last droppedLine
	closed  bool // the queue is written, and no more is added
	done    chan struct{}
}

// New returns a Writer to a file, which has to stay open. Close ends its goroutine.
func New(file *os.File) *Writer {
	w := &Writer{file: file, done: make(chan struct{})}
	w.changed = sync.NewCond(&w.mu)
	go w.run()
	return w
}

// Write implements io.Writer for whole lines. It does not block: a line that does not fit into the queue is dropped and counted.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.queue)+len(line) > maxQueuedBytes {
		w.dropped++
		return len(line), nil
	}
	w.queue = append(w.queue, line...)
	w.changed.Signal()
	return len(line), nil
}

// Close writes what is queued, for as long as the timeout at most.
func (w *Writer) Close(timeout time.Duration) {
	w.mu.Lock()
	w.closed = true
	w.changed.Signal()
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

// run writes what is queued until Close.
func (w *Writer) run() {
	defer close(w.done)
	for {
		lines, ok := w.next()
		if !ok {
			return
		}
		for len(lines) > 0 {
			n, err := w.file.Write(lines[:min(len(lines), w.awaitSpace())])
			if err != nil { // nobody reads any more
				break
			}
			lines = lines[n:]
		}
	}
}

// next waits for queued bytes and returns them. ok is false once there are none after Close.
func (w *Writer) next() (lines []byte, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.queue) == 0 && w.dropped == 0 && !w.closed {
		w.changed.Wait()
	}
	lines, w.queue = w.queue, nil
	if w.dropped > 0 {
		lines = fmt.Appendf(lines, droppedLine, time.Now().UTC().Format(time.RFC3339Nano), w.dropped)
		w.dropped = 0
	}
	return lines, len(lines) > 0
}

// awaitSpace waits until a write does not block, and returns how many bytes it may have. It does not block in the kernel, which would keep
// the processor from other goroutines for some milliseconds.
func (w *Writer) awaitSpace() int {
	fds := []unix.PollFd{{Fd: int32(w.file.Fd()), Events: unix.POLLOUT}}
	for {
		n, err := unix.Poll(fds, 0)
		if n != 0 || err != nil && !errors.Is(err, unix.EINTR) {
			return maxWriteBytes // writable, or the write reports what is wrong
		}
		time.Sleep(pollInterval)
	}
}
