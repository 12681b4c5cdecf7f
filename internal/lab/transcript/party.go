package transcript

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"mosslead/internal/lab/memnet"
)

const (
	waitTimeout   = time.Minute // of the bubble's clock, for what a script waits for
	callsCapacity = 64          // calls that no script has taken yet; the next has to wait
)

// Line is a party's side of a connection.
type Line struct {
	net.Conn
	in *bufio.Reader
}

func newLine(c net.Conn) *Line { return &Line{c, bufio.NewReader(c)} }

// Connect opens a connection from a host, as a client does.
func Connect(ctx context.Context, from *memnet.Host, address string) (*Line, error) {
	c, err := from.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newLine(c), nil
}

// Say sends text as it is.
func (l *Line) Say(text string) error {
	_, err := io.WriteString(l, text)
	return err
}

// Chunk sends text as one chunk of a body.
func (l *Line) Chunk(text string) error { return l.Say(fmt.Sprintf("%x\r\n%s\r\n", len(text), text)) }

// Answer reads one answer whole and returns its status, within a minute.
func (l *Line) Answer() (status int, err error) {
	if err := l.SetReadDeadline(time.Now().Add(waitTimeout)); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(l.in, nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// Reset breaks the connection.
func (l *Line) Reset() {
	if c, ok := l.Conn.(interface{ Reset() }); ok {
		c.Reset()
	}
}

// Call is a request as a server got it, whole, and the line to answer it on.
type Call struct {
	*Line
	By      string // whose server it is
	Request *http.Request
}

// Calls are what servers got, in order.
type Calls chan Call

// NewCalls is for one bubble.
func NewCalls() Calls { return make(Calls, callsCapacity) }

// Next waits for a call, a minute at most.
func (c Calls) Next() (Call, error) {
	select {
	case call := <-c:
		return call, nil
	case <-time.After(waitTimeout):
		return Call{}, errors.New("no call came")
	}
}

// Serve puts every request that comes to a host's port into calls, until ctx ends or the host is killed; who takes them
// answers.
func Serve(ctx context.Context, h *memnet.Host, port int, calls Calls) error {
	l, err := h.Listen(port)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go readRequests(ctx, newLine(c), h.Name(), calls)
		}
	}()
	return nil
}

// readRequests reads requests until the line ends: with the network at the latest.
func readRequests(ctx context.Context, l *Line, name string, calls Calls) {
	for {
		req, err := http.ReadRequest(l.in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		select {
		case calls <- Call{l, name, req}:
		case <-ctx.Done():
			return
		}
	}
}
