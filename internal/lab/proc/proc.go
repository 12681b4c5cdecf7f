// Package proc owns the child processes of a play: it starts them so that none outlives the laboratory, signals them,
// and reads what the kernel counts of them.
package proc

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"
	"unsafe"

	"github.com/prometheus/procfs"
)

// maxLogBytes is how much of a child's log is kept; what comes beyond is counted and dropped.
const maxLogBytes = 8 << 20

const childNice = 5

// Spec says what to run.
type Spec struct {
	Name    string // of the party, for messages
	Path    string
	Args    []string
	Env     []string // added to nothing: a child sees no variable of the laboratory's
	Dir     string
	LogFile string // where standard output and error go; appended to

	// Stdin and Stdout are the child's ends of pipes to it, which are its starter's to close; nil: nothing, and the log.
	Stdin, Stdout *os.File
}

// Child is a process that was started.
type Child struct {
	Name    string
	cmd     *exec.Cmd
	ended   chan struct{}
	waitErr error // of Wait, once ended is closed
	logs    sync.WaitGroup
}

// startRequests is the work of the spawner: the kernel kills a child when the thread that started it dies, so that all are
// started on one thread that lives as long as the process.
var (
	startRequests = make(chan func())
	runSpawner    = sync.OnceFunc(func() {
		go func() {
			runtime.LockOSThread()
			// Of this thread alone, and so of the children: where processors are short, what is measured waits and
			// not what measures. Without it the clients began sends 10 ms late on 4 processors.
			_ = syscall.Setpriority(syscall.PRIO_PROCESS, 0, childNice) // to be nicer is always allowed
			for f := range startRequests {
				f()
			}
		}()
	})
)

// Start runs a child. It is killed when this process ends in any way, SIGKILL too.
func Start(s Spec) (*Child, error) {
	log, err := os.OpenFile(s.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("log of %s: %w", s.Name, err)
	}
	cmd := exec.Command(s.Path, s.Args...)
	cmd.Env, cmd.Dir = s.Env, s.Dir
	// A group of its own: ^C is for the laboratory, which ends its children in order.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	// A pipe and not the file itself: a limit on the size of the child's files is not to bound its log.
	read, write, err := os.Pipe()
	if err != nil {
		_ = log.Close()
		return nil, fmt.Errorf("log of %s: %w", s.Name, err)
	}
	cmd.Stdout, cmd.Stderr = write, write
	if s.Stdin != nil {
		cmd.Stdin = s.Stdin
	}
	if s.Stdout != nil {
		cmd.Stdout = s.Stdout
	}
	c := &Child{Name: s.Name, cmd: cmd, ended: make(chan struct{})}
	runSpawner()
	done := make(chan error)
	startRequests <- func() { done <- cmd.Start() }
	err = <-done
	_ = write.Close()
	if err != nil {
		_ = read.Close()
		_ = log.Close()
		return nil, fmt.Errorf("starting %s: %w", s.Name, err)
	}
	c.logs.Add(1)
	go func() {
		defer c.logs.Done()
		defer func() { _ = log.Close() }()
		defer func() { _ = read.Close() }()
		copyLog(log, read)
	}()
	go func() {
		c.waitErr = cmd.Wait()
		close(c.ended)
	}()
	return c, nil
}

// copyLog copies a log up to its bound, and drains the rest, so that a child never waits for it.
func copyLog(to io.Writer, from io.Reader) {
	w := bufio.NewWriter(to)
	_, _ = io.CopyN(w, from, maxLogBytes) // a log that can't be written is no reason to stop the play
	if n, _ := io.Copy(io.Discard, from); n > 0 {
		_, _ = fmt.Fprintf(w, "\n(%d bytes more were left out)\n", n)
	}
	_ = w.Flush()
}

// PID is the process's number.
func (c *Child) PID() int { return c.cmd.Process.Pid }

// Ended is closed once the process has ended.
func (c *Child) Ended() <-chan struct{} { return c.ended }

// Exit words how it ended; empty while it runs.
func (c *Child) Exit() string {
	select {
	case <-c.ended:
	default:
		return ""
	}
	if c.waitErr == nil {
		return "exit status 0"
	}
	return c.waitErr.Error()
}

// Signal sends a signal; to a process that has ended it does nothing.
func (c *Child) Signal(s syscall.Signal) error {
	if err := c.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("%v to %s: %w", s, c.Name, err)
	}
	return nil
}

// Kill ends it with SIGKILL, stopped or not, and waits until it has ended and its log is written.
func (c *Child) Kill() error {
	err := c.Signal(syscall.SIGKILL)
	<-c.ended
	c.logs.Wait()
	return err
}

// Stop asks it to end with SIGTERM, and kills it if it has not ended in time, after late. clean: it ended by itself with 0.
func (c *Child) Stop(within time.Duration, late func()) (clean bool, err error) {
	if err := c.Signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	over := time.NewTimer(within)
	defer over.Stop()
	select {
	case <-c.ended:
		c.logs.Wait()
		return c.waitErr == nil, nil
	case <-over.C:
		late()
		return false, c.Kill()
	}
}

// FileLimit bounds the size of the files that it writes, as a full disk does; nil lifts the bound.
func (c *Child) FileLimit(bytes *uint64) error {
	lim := syscall.Rlimit{Cur: ^uint64(0), Max: ^uint64(0)}
	if bytes != nil {
		lim.Cur = *bytes
	}
	const rlimitFsize = syscall.RLIMIT_FSIZE
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(c.PID()), rlimitFsize, uintptr(unsafe.Pointer(&lim)), 0, 0, 0)
	if errno != 0 && errno != syscall.ESRCH { // one that has ended needs no limit
		return fmt.Errorf("file limit of %s: %w", c.Name, errno)
	}
	return nil
}

// Use is what the kernel counts of a process.
type Use struct {
	Descriptors int
	MemoryMB    float64
	CPU         time.Duration
}

// Use reads the counts; an error means that it has ended.
func (c *Child) Use() (u Use, err error) {
	p, err := procfs.NewProc(c.PID())
	if err != nil {
		return u, err
	}
	stat, err := p.Stat()
	if err != nil {
		return u, err
	}
	if u.Descriptors, err = p.FileDescriptorsLen(); err != nil {
		return u, err
	}
	u.MemoryMB = float64(stat.ResidentMemory()) / (1 << 20)
	u.CPU = time.Duration(stat.CPUTime() * float64(time.Second))
	return u, nil
}

// IO is what a process has read and written by system calls: files, and sockets of streams. What a socket sends and receives as
// datagrams is not in it.
type IO struct{ Read, Written int64 }

// IO reads the counts; an error means that it has ended.
func (c *Child) IO() (x IO, err error) {
	p, err := procfs.NewProc(c.PID())
	if err != nil {
		return x, err
	}
	counts, err := p.IO()
	if err != nil {
		return x, err
	}
	return IO{int64(counts.RChar), int64(counts.WChar)}, nil
}

// Ran is the processor time of the threads that it has, to the nanosecond: Use counts in hundredths of a second.
func (c *Child) Ran() (sum time.Duration, err error) {
	threads, err := procfs.AllThreads(c.PID())
	if err != nil {
		return 0, err
	}
	for _, t := range threads {
		s, err := t.Schedstat()
		if err != nil {
			return 0, err
		}
		sum += time.Duration(s.RunningNanoseconds)
	}
	return sum, nil
}
