package fake

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// View is what is wrong between a sidecar and a replica, by a fault. The zero value: nothing.
type View struct {
	Silent bool // nothing comes through
	Reset  bool // connections break
}

// Window is how one sidecar sees one replica of the list service: the same, with the addresses at which this sidecar
// reaches upstreams.
type Window struct {
	replica       string
	address       func(upstream string) string
	teller        *Teller
	server        *http.Server
	client        *http.Client
	listenAddress string
	done          sync.WaitGroup

	mu      sync.Mutex
	view    View
	changed chan struct{} // closed when the view changes
}

// NewWindow opens a window at an address, upon a replica.
func NewWindow(listen, replica string, told *Teller, address func(string) string) (*Window, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("window on %s: %w", replica, err)
	}
	w := &Window{replica: replica, address: address, teller: told, listenAddress: ln.Addr().String(), changed: make(chan struct{}),
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", w.serveTargets)
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	w.done.Go(func() { _ = w.server.Serve(ln) }) // ends with Close
	return w, nil
}

// Address is where the sidecar asks.
func (w *Window) Address() string { return w.listenAddress }

// Set changes the view, from now on.
func (w *Window) Set(v View) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.view = v
	close(w.changed)
	w.changed = make(chan struct{})
}

// Close ends the window and what goes through it.
func (w *Window) Close() {
	_ = w.server.Close()
	w.done.Wait()
	w.client.CloseIdleConnections()
}

// awaitOpen waits while nothing comes through; false: the connection is to break.
func (w *Window) awaitOpen(r *http.Request) bool {
	for {
		w.mu.Lock()
		view, changed := w.view, w.changed
		w.mu.Unlock()
		switch {
		case r.Context().Err() != nil, view.Reset:
			return false
		case !view.Silent:
			return true
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
	}
}

// serveTargets passes a call on, and its answer line by line.
func (w *Window) serveTargets(rw http.ResponseWriter, r *http.Request) {
	if !w.awaitOpen(r) {
		panic(http.ErrAbortHandler)
	}
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+w.replica+r.URL.RequestURI(), nil)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	resp, err := w.client.Do(req)
	if err != nil { // as a connection that is refused
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = resp.Body.Close() }()
	rw.WriteHeader(resp.StatusCode)
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(rw, resp.Body)
		return
	}
	out := http.NewResponseController(rw)
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, 8<<20)
	for lines.Scan() {
		if !w.awaitOpen(r) {
			panic(http.ErrAbortHandler)
		}
		line := lines.Bytes()
		if len(bytes.TrimSpace(line)) > 0 {
			if line, err = w.rewriteMessage(line); err != nil {
				panic(http.ErrAbortHandler)
			}
		}
		if _, err := rw.Write(append(line, '\n')); err != nil || out.Flush() != nil {
			return
		}
	}
	if lines.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

// rewriteMessage gives a message the addresses that this sidecar is to use, and notes what it tells.
func (w *Window) rewriteMessage(line []byte) ([]byte, error) {
	var l Listing
	if err := json.Unmarshal(line, &l); err != nil {
		return nil, err
	}
	for i, e := range l.Endpoints {
		if e.Status != Gone {
			l.Endpoints[i].Address = w.address(e.Name)
		}
	}
	w.teller.recordNews(l) // before the write: a sidecar that acts at once is not early
	return json.Marshal(l)
}
