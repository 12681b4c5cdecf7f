package sidecar

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"mosslead/balancer"
)

// clientRequest is a request that was read from a client and checked.
type clientRequest struct {
	id, class, tenant string
	settings          balancer.Class // class by which it was checked
	expiresAt         time.Duration  // clock time at which the client stops waiting
	costHint          time.Duration  // expected work; 0: unknown

	method, target, host string
	header               http.Header // what goes on to an upstream
	body                 *clientBody
	timeout              time.Duration // as the client states it, or its class
	bodyPending          bool          // the body was incomplete when the request was handed on
	forwarded            bool          // by a peer
	disconnected         func() bool   // tells whether the client has gone; nil: there is none

	answer     chan answer // holds the final answer
	bodyErrors chan error  // holds what broke the body off
}

const (
	headerID      = "X-Request-Id"
	headerClass   = "X-Priority-Class"
	headerTenant  = "X-Tenant-Id"
	headerTimeout = "X-Timeout"
	headerCost    = "X-Cost"
	headerKey     = "Idempotency-Key"

	headerNotProcessed = "X-Not-Processed"

	writeTimeout           = 5 * time.Second       // for a client to take its answer
	disconnectPollInterval = 50 * time.Millisecond // how often a client that nobody reads from is looked at: it has gone within 0.1 s
)

// hopByHop headers belong to one connection and do not go on. httputil keeps its list to its proxy, whose transport may send
// a request twice.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// endToEnd copies the headers that go on.
func endToEnd(h http.Header) http.Header {
	persisted := h.Clone()
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			persisted.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		persisted.Del(name)
	}
	return persisted
}

// server reads clients' requests and writes the answers.
type server struct {
	clock        clock
	classes      atomic.Pointer[map[string]balancer.Class]
	post         func(any) bool
	stop         <-chan struct{}
	ready        func() bool
	hasEndpoints func() bool // there is a server to send to
	failures     *limitedLog // log of rejected requests
	stats        *stats
	budget       *byteBudget
	stopping     atomic.Bool // connections end with their next answer
	forwards     *forwarder  // nil: nothing is forwarded
}

// ServeHTTP takes a client's request, and returns once it has its answer. It aborts the connection, by panicking with
// http.ErrAbortHandler, where the client has gone or must see that its answer is incomplete.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, _ := r.Context().Value(connKey{}).(*framedConn)
	if r.ContentLength != 0 { // also where nobody reads it: the library does, before it closes or goes on
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyStartTimeout)) // see write
	}
	bad := checkFraming(r, conn == nil || conn.framing.nextAmbiguous())
	if bad == nil && strings.HasPrefix(r.URL.Path, "/-/") {
		s.serveOwnPage(w, r)
		return
	}
	var req *clientRequest
	if bad == nil {
		req, bad = s.parse(w, r)
	}
	if bad != nil {
		s.reject(w, r, bad)
		return
	}
	h := &requestHandler{server: s, w: w, r: r, conn: conn, req: req, outcome: clientGone}
	h.run()
}

// reject answers a malformed request, and ends its connection.
func (s *server) reject(w http.ResponseWriter, r *http.Request, bad *rejection) {
	s.failures.log("request rejected before admission", func() []slog.Attr {
		return []slog.Attr{slog.String("request", truncate(r.Header.Get(headerID))), slog.String("peer", r.RemoteAddr),
			slog.String("method", truncate(r.Method)), slog.String("target", truncate(r.RequestURI)), slog.Int64("length", r.ContentLength),
			slog.Int("status", bad.status), slog.String("err", bad.text)}
	})
	w.Header().Set("Connection", "close") // else the library first waits for the rest of the body
	s.writeLine(w, bad.status, bad.text)
}

// answerEarly answers a request whose body is still coming, and reads the rest away: a client may look for its answer only
// when it has sent all.
func (s *server) answerEarly(w http.ResponseWriter, req *clientRequest, a answer) {
	conn := http.NewResponseController(w)
	_ = conn.EnableFullDuplex() // the library would read the body first; it is HTTP/1.1 always, see framed
	w.Header().Set("Connection", "close")
	_ = s.writeAnswer(w, a) // nothing is left to do for a client that has gone
	_ = conn.Flush()
	req.body.drain()
}

// checkFraming rejects a request whose end two readers may see in different places, see framing.go, so that nothing that
// stands inside a body is ever read as a request. HTTP/1.0 knows no chunks, and what is idempotent has no body.
func checkFraming(r *http.Request, doubtful bool) *rejection {
	switch {
	case !r.ProtoAtLeast(1, 1):
		return &rejection{http.StatusHTTPVersionNotSupported, "HTTP/1.1 is spoken here"}
	case doubtful:
		return &rejection{http.StatusBadRequest, "one Content-Length, or chunks, must tell where the body ends"}
	case r.Method == http.MethodGet && r.ContentLength != 0:
		return &rejection{http.StatusBadRequest, "GET has no body"}
	}
	return nil
}

// serveOwnPage serves the sidecar's own pages.
func (s *server) serveOwnPage(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != "/-/ready":
		s.writeLine(w, http.StatusNotFound, "no such page")
	case s.stopping.Load() || !s.ready():
		s.writeLine(w, http.StatusServiceUnavailable, "not ready")
	default:
		s.writeLine(w, http.StatusOK, "ready")
	}
}

// writeAnswer words the final answer as the protocol says.
func (s *server) writeAnswer(w http.ResponseWriter, a answer) error {
	switch a.kind {
	case served:
		maps.Copy(w.Header(), a.reply.header)
		if a.reply.rest != nil {
			return s.stream(w, &a.reply)
		}
		s.write(w, http.StatusOK, a.reply.body)
	case rejected:
		if a.retryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', -1, 64))
		}
		s.writeLine(w, http.StatusServiceUnavailable, "refused: not done, trying again is harmless")
	case duplicate:
		s.writeLine(w, http.StatusConflict, "a request of this id is in hand")
	default:
		s.writeLine(w, http.StatusBadGateway, "failed")
	}
	return nil
}

// stream passes an answer on as it comes. An error says that the client did not get it whole.
func (s *server) stream(w http.ResponseWriter, rep *attemptReply) error {
	length := ""
	if rep.rest.length >= 0 {
		length = strconv.FormatInt(rep.rest.length, 10)
	}
	s.writeHead(w, http.StatusOK, length)
	conn := http.NewResponseController(w)
	buf := transferBuffers.Get().(*[transferBufferBytes]byte)
	defer transferBuffers.Put(buf)
	part, err := rep.body, error(nil)
	for {
		if len(part) > 0 {
			_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // see write
			if _, err := w.Write(part); err != nil {
				return fmt.Errorf("passing an answer on: %w", err)
			}
			if err := conn.Flush(); err != nil {
				return fmt.Errorf("passing an answer on: %w", err)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("reading the rest of an answer: %w", err)
		}
		rep.release()
		var n int
		n, err = rep.rest.read(buf[:])
		part = buf[:n]
	}
}

// writeLine answers with a line of the sidecar's own.
func (s *server) writeLine(w http.ResponseWriter, status int, line string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	s.write(w, status, []byte(line+"\n"))
}

func (s *server) write(w http.ResponseWriter, status int, body []byte) {
	// Deadlines can't fail on a server's own connections; should they, the write shows it.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	s.writeHead(w, status, strconv.Itoa(len(body)))
	_, _ = w.Write(body) // a client that does not take its answer has gone
}

// writeHead writes the head of an answer; one without a length goes in chunks.
func (s *server) writeHead(w http.ResponseWriter, status int, length string) {
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if w.Header().Get("Content-Type") == "" {
		w.Header()["Content-Type"] = nil // none is guessed
	}
	w.Header().Del("Content-Length")
	if length != "" {
		w.Header().Set("Content-Length", length)
	}
	w.WriteHeader(status)
}
