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

// View is the fault between a sidecar and a replica. The zero value is no fault.
type View struct {
	Silent bool // nothing passes
	Reset  bool // connections break
}

// Window is a proxy through which one sidecar reaches one replica of the list service. It replaces the upstreams'
// addresses by those at which this sidecar reaches them.
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
	changed chan struct{} // closed and replaced when the view changes
}

// NewWindow opens a window at the address listen in front of a replica.
func NewWindow(listen, replica string, teller *Teller, address func(string) string) (*Window, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("window on %s: %w", replica, err)
	}
	w := &Window{replica: replica, address: address, teller: teller, listenAddress: ln.Addr().String(), changed: make(chan struct{}),
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", w.serveTargets)
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	w.done.Go(func() { _ = w.server.Serve(ln) }) // ends with Close
	return w, nil
}

// Address returns the address at which the sidecar asks.
func (w *Window) Address() string { return w.listenAddress }

// Set replaces the view, effective at once.
func (w *Window) Set(v View) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.view = v
	close(w.changed)
	w.changed = make(chan struct{})
}

// Close closes the window and the connections through it.
func (w *Window) Close() {
	_ = w.server.Close()
	w.done.Wait()
	w.client.CloseIdleConnections()
}

// awaitOpen waits while the view is silent. It reports false if the connection is to break.
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

// serveTargets forwards a call to the replica, and returns its answer line by line.
func (w *Window) serveTargets(rw http.ResponseWriter, r *http.Request) {
	if !w.awaitOpen(r) {
		panic(http.ErrAbortHandler)
	}
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+w.replica+r.URL.RequestURI(), nil)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	resp, err := w.client.Do(req)
	if err != nil { // the abort stands for a refused connection
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = resp.Body.Close() }()
	rw.WriteHeader(resp.StatusCode)
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(rw, resp.Body)
		return
	}
	controller := http.NewResponseController(rw)
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
		if _, err := rw.Write(append(line, '\n')); err != nil || controller.Flush() != nil {
			return
		}
	}
	if lines.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

// rewriteMessage returns a message with the addresses that this sidecar is to use, and records what the message says.
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
	w.teller.recordNews(l) // recorded before the write, so that a sidecar that acts at once does not seem to act before it got the list
	return json.Marshal(l)
}
