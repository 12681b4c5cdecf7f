package sidecar

import (
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"mosslead/balancer"
)

// clientRequest is a request of a client, parsed and checked.
type clientRequest struct {
	id, class, tenant string
	classSettings     balancer.Class // settings of the class when the request was parsed
	expiresAt         time.Duration  // clock time at which the client stops waiting
	costHint          time.Duration  // expected work, 0 if unknown

	method, target, host string
	header               http.Header // as sent to upstreams
	body                 *clientBody
	timeout              time.Duration // stated by the client, or the deadline of its class
	readDelay            time.Duration // from the arrival of its last byte, or of what was read of its body at first, until it was parsed; expiresAt allows for it
	bodyPending          bool          // the body was incomplete when the request was dispatched
	conn                 *framedConn   // nil unless bodyPending is set
	bodyTimer            *bodyTimer    // nil unless bodyPending is set
	forwarded            bool          // a peer forwarded the request
	memory               *requestReservation
	disconnected         func() bool // reports whether the client has disconnected; may be nil

	answer     chan answer // receives the final answer; has a buffer of one
	bodyErrors chan error  // receives the error of reading the body; has a buffer of one
}

// unsafe reports whether the request must not run twice.
func (r *clientRequest) unsafe() bool { return r.classSettings.Idempotency != balancer.Idempotent }

const (
	headerID      = "X-Request-Id"
	headerClass   = "X-Priority-Class"
	headerTenant  = "X-Tenant-Id"
	headerTimeout = "X-Timeout"
	headerCost    = "X-Cost"
	headerKey     = "Idempotency-Key"

	headerNotProcessed = "X-Not-Processed"

	writeTimeout           = 5 * time.Second       // time-out of each write of an answer
	disconnectPollInterval = 50 * time.Millisecond // time between checks whether a client has disconnected, made while its connection is not read; a disconnect must be noticed within 0.1 s
)

// hopByHopHeaders are the headers that are not forwarded (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// endToEnd returns a clone of the headers without the hop-by-hop ones.
func endToEnd(h http.Header) http.Header {
	forwarded := h.Clone()
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		forwarded.Del(name)
	}
	return forwarded
}

// server is the HTTP handler of clients' requests. It is safe for concurrent use.
type server struct {
	clock        clock
	classes      atomic.Pointer[map[string]balancer.Class]
	post         func(any) bool  // queues an event for the dispatcher; returns false once the dispatcher has stopped
	stop         <-chan struct{} // closed when the dispatcher stops
	ready        func() bool
	hasEndpoints func() bool // reports whether an upstream is ready
	failures     *limitedLog // log of rejected requests
	readDelay    *delayEstimate
	answerDelay  *delayEstimate
	overdue      *limitedLog // log of answers that were written after their time
	recent       *recentIDs  // requests that must not run twice and may have run
	stats        *stats
	memory       *memoryAccount
	starts       *startQueue // where new connections and requests wait for the processor
	stopping     atomic.Bool // each connection is closed after its next answer
	forwarder    *forwarder  // nil if nothing is forwarded
}

// ServeHTTP implements http.Handler: it serves a client's request, and returns once the request is answered. It aborts
// the connection, by panicking with http.ErrAbortHandler, if the client has disconnected or must notice that its answer is
// incomplete.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, _ := r.Context().Value(connKey{}).(*framedConn)
	if r.ContentLength != 0 { // net/http reads the part of a body that the handler does not read
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyStartTimeout)) // fails on a closed connection only
	}
	head, reserved := readHead{ambiguous: true}, int64(0)
	if conn != nil {
		head, reserved = conn.deliverHead()
		conn.beginRequest()
	}
	memory := newReservation(s.memory, reserved)
	defer memory.release()
	rej := checkFraming(r, head.ambiguous)
	if rej == nil && strings.HasPrefix(r.URL.Path, "/-/") {
		s.serveOwnPage(w, r)
		return
	}
	var req *clientRequest
	if rej == nil {
		req, rej = s.parse(w, r, head.size, memory)
	}
	if rej != nil {
		s.reject(w, r, rej)
		return
	}
	h := &requestHandler{server: s, w: w, r: r, conn: conn, req: req, outcome: disconnected}
	h.run()
}

// reject answers a malformed request, and closes its connection.
func (s *server) reject(w http.ResponseWriter, r *http.Request, rej *rejection) {
	s.failures.log("request rejected before admission", func() []slog.Attr {
		return []slog.Attr{slog.String("request", truncate(r.Header.Get(headerID))), slog.String("peer", r.RemoteAddr),
			slog.String("method", truncate(r.Method)), slog.String("target", truncate(r.RequestURI)), slog.Int64("length", r.ContentLength),
			slog.Int("status", rej.status), slog.String("err", rej.text)}
	})
	w.Header().Set("Connection", "close") // otherwise net/http first waits for the rest of the body
	if rej == noMemory {
		w.Header().Set(headerNotProcessed, "1") // a peer that forwarded the request then handles it itself
		s.stats.begin()
		s.stats.end(className(r), rejected)
	}
	s.writeLine(w, rej.status, rej.text)
}

// checkFraming rejects a request with ambiguous framing (see framing.go), so that no part of a body is ever read as a
// request. It also rejects HTTP/1.0, which has no chunked bodies, and a GET with a body, since an idempotent request must
// have none.
func checkFraming(r *http.Request, ambiguous bool) *rejection {
	switch {
	case !r.ProtoAtLeast(1, 1):
		return &rejection{http.StatusHTTPVersionNotSupported, "HTTP/1.1 is spoken here"}
	case ambiguous:
		return &rejection{http.StatusBadRequest, "one Content-Length, or chunks, must tell where the body ends"}
	case r.Method == http.MethodGet && r.ContentLength != 0:
		return &rejection{http.StatusBadRequest, "GET has no body"}
	}
	return nil
}

// serveOwnPage serves the sidecar's own pages, below /-/.
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
