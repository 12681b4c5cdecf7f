// Package rig holds what the review's cases share: the sidecar as a process, and stand-ins for the platform's discovery agent, upstreams and
// clients. All of them listen on loopback addresses and use the real clock.
package rig

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the log of a case: what was sent, answered and run. It is safe for concurrent use.
type Record struct {
	start time.Time
	mu    sync.Mutex
	file  *os.File
	w     *bufio.Writer
}

// NewRecord creates the file record.txt in dir.
func NewRecord(dir string) (*Record, error) {
	f, err := os.Create(dir + "/record.txt")
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), file: f, w: bufio.NewWriter(f)}, nil
}

// Ms returns a time as milliseconds since the start of the case.
func (r *Record) Ms(at time.Time) float64 { return float64(at.Sub(r.start).Microseconds()) / 1000 }

// Log writes one line with the present time.
func (r *Record) Log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%10.1f ms  %s\n", r.Ms(time.Now()), fmt.Sprintf(format, args...))
}

// Say writes one line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Log(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close writes what is buffered.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}
