package relay

import (
	"bufio"
	"io"
	"net/http"
)

// tap parses the requests of one connection as its initiator sends them. A nil tap does nothing.
type tap struct {
	in   *io.PipeWriter
	done chan struct{} // closed when parsing has ended
}

// newTap returns a tap that calls onRequest for each request.
func newTap(onRequest func(*http.Request)) *tap {
	out, in := io.Pipe()
	t := &tap{in, make(chan struct{})}
	go func() {
		defer close(t.done)
		for r := bufio.NewReader(out); ; {
			req, err := http.ReadRequest(r)
			if err == nil {
				onRequest(req)
				_, err = io.Copy(io.Discard, req.Body)
			}
			if err != nil { // the data has ended or isn't HTTP: the tap ignores the rest, which the link still forwards
				out.CloseWithError(err)
				return
			}
		}
	}()
	return t
}

func (t *tap) write(data []byte) {
	if t != nil && len(data) > 0 {
		_, _ = t.in.Write(data) // fails once parsing has ended
	}
}

// close returns once all requests that were sent completely have been reported.
func (t *tap) close() {
	if t != nil {
		_ = t.in.Close()
		<-t.done
	}
}

// OnBegin sets a function that is called for each connection to the target before any byte passes, with the connection's
// local address, by which the target knows it. It must be called before the link carries anything.
func (l *Link) OnBegin(f func(localAddr string)) { l.mu.Lock(); l.onBegin = f; l.mu.Unlock() }

// Hear sets a function that is called for each request that a party sends over a link of the mesh. It must be called
// before parties are added.
func (m *Mesh) Hear(onRequest func(from, to string, r *http.Request)) { m.onRequest = onRequest }

// requestObserver returns the function that a link of the mesh calls for each request, or nil if nobody observes them.
func (m *Mesh) requestObserver(from, to string) func(*http.Request) {
	if m.onRequest == nil {
		return nil
	}
	return func(r *http.Request) { m.onRequest(from, to, r) }
}
