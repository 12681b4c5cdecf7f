// Package proc manages the child processes of a run: it starts them so that none outlives the laboratory, signals them,
// and reads the kernel's counts of their resource use.
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

// maxLogBytes is how much of a child's log is kept. The rest is counted and dropped.
const maxLogBytes = 8 << 20

// childNice is the nice value at which children run.
const childNice = 5

// Spec describes a child process.
type Spec struct {
	Name    string // name of the party, for messages
	Path    string
	Args    []string
	Env     []string // the whole environment; a child sees no variable of the laboratory's
	Dir     string
	LogFile string // file to which standard output and error are appended

	// Stdin and Stdout are the child's ends of pipes, which the caller of Start closes. If nil, the child reads nothing
	// and writes to its log.
	Stdin, Stdout *os.File
}

// Child is a process that Start has started.
type Child struct {
	Name    string
	cmd     *exec.Cmd
	ended   chan struct{}
	waitErr error // result of Wait, valid once ended is closed
	logs    sync.WaitGroup
}

// startRequests holds the work of the spawner. The kernel kills a child when the thread that started it dies, so all
// children are started on one thread that lives as long as the process.
var (
	startRequests = make(chan func())
	runSpawner    = sync.OnceFunc(func() {
		go func() {
			runtime.LockOSThread()
			// Only this thread and the children that it starts get the lower priority: where processors are short, the measured
			// processes wait, not the measuring one. At equal priority the clients began sends 10 ms late on 4 processors.
			_ = syscall.Setpriority(syscall.PRIO_PROCESS, 0, childNice) // a process may always lower its own priority
			for f := range startRequests {
				f()
			}
		}()
	})
)

// Start starts a child. The child is killed when this process ends in any way, also by SIGKILL.
func Start(s Spec) (*Child, error) {
	log, err := os.OpenFile(s.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("log of %s: %w", s.Name, err)
	}
	cmd := exec.Command(s.Path, s.Args...)
	cmd.Env, cmd.Dir = s.Env, s.Dir
	// The child gets its own process group, so that ^C reaches only the laboratory, which stops its children in order.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	// A pipe in place of the file, so that a limit on the size of the child's files doesn't bound its log.
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

// copyLog copies the first maxLogBytes of a log and drains the rest, so that a child never waits for its log.
func copyLog(to io.Writer, from io.Reader) {
	w := bufio.NewWriter(to)
	_, _ = io.CopyN(w, from, maxLogBytes) // a log that can't be written is no reason to stop the run
	if n, _ := io.Copy(io.Discard, from); n > 0 {
		_, _ = fmt.Fprintf(w, "\n(%d bytes more were left out)\n", n)
	}
	_ = w.Flush()
}

// PID returns the process ID.
func (c *Child) PID() int { return c.cmd.Process.Pid }

// Ended returns a channel that is closed once the process has ended.
func (c *Child) Ended() <-chan struct{} { return c.ended }

// Exit describes how the process ended. It returns "" while the process runs.
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

// Signal sends a signal. It does nothing if the process has ended.
func (c *Child) Signal(s syscall.Signal) error {
	if err := c.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("%v to %s: %w", s, c.Name, err)
	}
	return nil
}

// Kill ends the process with SIGKILL, even if it is stopped, and waits until it has ended and its log is written.
func (c *Child) Kill() error {
	err := c.Signal(syscall.SIGKILL)
	<-c.ended
	c.logs.Wait()
	return err
}

// Stop sends SIGTERM. If the process has not ended after within, Stop calls late and kills it. clean reports whether the
// process ended by itself with status 0.
func (c *Child) Stop(within time.Duration, late func()) (clean bool, err error) {
	if err := c.Signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	timer := time.NewTimer(within)
	defer timer.Stop()
	select {
	case <-c.ended:
		c.logs.Wait()
		return c.waitErr == nil, nil
	case <-timer.C:
		late()
		return false, c.Kill()
	}
}

// FileLimit limits the size of the files that the process writes, so that writes fail as on a full disk. nil lifts the
// limit.
func (c *Child) FileLimit(bytes *uint64) error {
	lim := syscall.Rlimit{Cur: ^uint64(0), Max: ^uint64(0)}
	if bytes != nil {
		lim.Cur = *bytes
	}
	const rlimitFsize = syscall.RLIMIT_FSIZE
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(c.PID()), rlimitFsize, uintptr(unsafe.Pointer(&lim)), 0, 0, 0)
	if errno != 0 && errno != syscall.ESRCH { // a process that has ended needs no limit
		return fmt.Errorf("file limit of %s: %w", c.Name, errno)
	}
	return nil
}

// Use is a process's use of resources, as the kernel counts it.
type Use struct {
	Descriptors int
	MemoryMB    float64
	CPU         time.Duration
}

// Use reads the process's use of resources. It fails if the process has ended.
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

// IO is how many bytes a process has read and written by system calls, on files and stream sockets. Datagrams are not
// counted.
type IO struct{ Read, Written int64 }

// IO reads the counts. It fails if the process has ended.
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

// Ran returns the processor time of the process's present threads, to the nanosecond. Use counts in hundredths of a
// second.
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
