package relay

import (
	"bufio"
	"io"
	"net/http"
)

// tap hears the requests of one connection, as its initiator sends them; a nil tap hears nothing.
type tap struct {
	in   *io.PipeWriter
	done chan struct{}
}

func newTap(heard func(*http.Request)) *tap {
	out, in := io.Pipe()
	t := &tap{in, make(chan struct{})}
	go func() {
		defer close(t.done)
		for r := bufio.NewReader(out); ; {
			req, err := http.ReadRequest(r)
			if err == nil {
				heard(req)
				_, err = io.Copy(io.Discard, req.Body)
			}
			if err != nil { // the end, or nothing that is HTTP: what follows is not heard, and passes on all the same
				out.CloseWithError(err)
				return
			}
		}
	}()
	return t
}

func (t *tap) write(data []byte) {
	if t != nil && len(data) > 0 {
		_, _ = t.in.Write(data) // fails once nothing more is heard
	}
}

// close returns once all is heard that was sent whole.
func (t *tap) close() {
	if t != nil {
		_ = t.in.Close()
		<-t.done
	}
}

// OnBegin has f told of each connection to the target before anything goes over it, by its local address, by which the target
// knows it. It is called before the link carries anything.
func (l *Link) OnBegin(f func(dialled string)) { l.mu.Lock(); l.onBegin = f; l.mu.Unlock() }

// Hear has heard told of each request that a party sends over a mesh's links. It is called before parties are added.
func (m *Mesh) Hear(heard func(from, to string, r *http.Request)) { m.onRequest = heard }

// requestObserver is what a link of the mesh calls for a request; nil: nobody wants to know.
func (m *Mesh) requestObserver(from, to string) func(*http.Request) {
	if m.onRequest == nil {
		return nil
	}
	return func(r *http.Request) { m.onRequest(from, to, r) }
}
