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
	waitTimeout   = time.Minute // limit of each wait of a script, on the clock of the synctest bubble
	callsCapacity = 64          // calls that no script has taken yet; a further one waits
)

// Line is one party's end of a connection.
type Line struct {
	net.Conn
	in *bufio.Reader
}

func newLine(c net.Conn) *Line { return &Line{c, bufio.NewReader(c)} }

// Connect opens a connection from a host to address, as a client does.
func Connect(ctx context.Context, from *memnet.Host, address string) (*Line, error) {
	c, err := from.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newLine(c), nil
}

// Say sends text unchanged.
func (l *Line) Say(text string) error {
	_, err := io.WriteString(l, text)
	return err
}

// Chunk sends text as one chunk of a chunked body.
func (l *Line) Chunk(text string) error { return l.Say(fmt.Sprintf("%x\r\n%s\r\n", len(text), text)) }

// Answer reads one whole answer and returns its status. It fails after a minute.
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

// Reset resets the connection, if it can be reset.
func (l *Line) Reset() {
	if c, ok := l.Conn.(interface{ Reset() }); ok {
		c.Reset()
	}
}

// Call is a request that a server received whole, and the connection on which to answer it.
type Call struct {
	*Line
	By      string // name of the host of the server
	Request *http.Request
}

// Calls holds the calls that servers received, in order.
type Calls chan Call

// NewCalls returns an empty queue of calls, for use within one synctest bubble.
func NewCalls() Calls { return make(Calls, callsCapacity) }

// Next returns the next call. It waits for it a minute at most.
func (c Calls) Next() (Call, error) {
	select {
	case call := <-c:
		return call, nil
	case <-time.After(waitTimeout):
		return Call{}, errors.New("no call came")
	}
}

// Serve puts every request that reaches a host's port into calls, until ctx ends or the host is killed. Whoever takes a call from
// there has to answer it.
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

// readRequests puts the requests of a connection into calls until the connection ends, which it does with the network at the latest.
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
