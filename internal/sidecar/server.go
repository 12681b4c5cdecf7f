package sidecar

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mosslead/balancer"
	"mosslead/internal/forwarding"
)

// clientRequest is a request that was taken from the client and checked.
type clientRequest struct {
	id, class, tenant string
	settings          balancer.Class // what class it was checked by
	expiresAt         time.Duration  // clock time at which the client stops waiting
	costHint          time.Duration  // expected work; 0: unknown

	method, target, host string
	header               http.Header // what goes on to an upstream
	body                 *clientBody
	timeout              time.Duration // what the client states, or its class does
	bodyPending          bool          // the body was not whole when the request was taken
	forwarded            bool          // a peer has forwarded it
	disconnected         func() bool   // has the client gone? nil: there is none

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

// server takes the client's requests and gives the answers.
type server struct {
	clock        clock
	classes      atomic.Pointer[map[string]balancer.Class]
	post         func(any) bool
	stop         <-chan struct{}
	ready        func() bool
	hasEndpoints func() bool // there is a server to send to
	failures     *limitedLog // on requests that are turned away
	stats        *stats
	budget       *byteBudget
	stopping     atomic.Bool // connections are to end with their next answer
	forwards     *forwarder  // nil: nothing is forwarded
}

// rejection answers a malformed request, without the module.
type rejection struct {
	status int
	text   string
}

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
	how := clientGone
	var begun sync.Once
	begin := func() { begun.Do(s.stats.begin) }
	defer func() { begin(); s.stats.end(req.class, how) }()
	defer req.body.release()
	if req.bodyPending {
		req.body.onComplete = func() {
			begin()
			s.post(bodyComplete{req, s.clock.now() + req.timeout})
		}
		req.body.onError = func(err error) { req.bodyErrors <- err }
	} else {
		begin()
	}
	a, done := answer{kind: duplicate}, true
	if s.forwards.reserve(req.id) {
		defer s.forwards.release(req.id)
		a, done = s.forwards.forward(r.Context(), s.clock.now(), req)
	}
	if done {
		defer a.reply.drop()
		if how = a.kind; r.Context().Err() != nil {
			how = clientGone
			panic(http.ErrAbortHandler)
		}
		if how == failed {
			s.failures.log("failed", func() []slog.Attr {
				return []slog.Attr{slog.String("request", truncate(req.id)), slog.String("class", req.class), slog.Any("forwarded", a.reply.err)}
			})
		}
		if req.body.receiving() {
			s.answerEarly(w, req, a)
			return
		}
		if err := s.writeAnswer(w, a); err != nil {
			how = failed
			panic(http.ErrAbortHandler)
		}
		return
	}
	req.disconnected = func() bool { return r.Context().Err() != nil || conn.disconnected() }
	if !s.post(requestArrived{req}) {
		how = failed
		s.writeLine(w, http.StatusInternalServerError, "stopped")
		return
	}
	ahead, looks := conn.pipelined, (<-chan time.Time)(nil)
	for {
		if looks == nil && req.body.receiving() { // nobody reads on while no attempt does
			ahead = nil
			defer s.pollDisconnect(&looks).Stop()
		}
		select {
		case <-ahead: // the library reads no further
			ahead = nil
			defer s.pollDisconnect(&looks).Stop()
		case <-looks:
			if conn.disconnected() {
				s.post(clientDisconnected{req})
				panic(http.ErrAbortHandler)
			}
		case a := <-req.answer:
			how = a.kind
			defer a.reply.drop()
			if how == clientGone {
				panic(http.ErrAbortHandler)
			}
			if req.forwarded && a.kind == rejected && !a.attempted { // the peer may go on with it
				w.Header().Set(headerNotProcessed, "1")
			}
			if req.body.receiving() {
				s.answerEarly(w, req, a)
				return
			}
			if err := s.writeAnswer(w, a); err != nil {
				how = failed                // by the upstream, or by a client that does not take its answer
				panic(http.ErrAbortHandler) // the client can tell that the answer is not whole
			}
			return
		case err := <-req.bodyErrors:
			s.post(clientDisconnected{req})
			if !isTimeout(err) && !errors.Is(err, errBodyLarge) {
				panic(http.ErrAbortHandler)
			}
			how = failed
			bad := &rejection{http.StatusRequestTimeout, "the body did not come in time"}
			if !isTimeout(err) {
				bad = &rejection{http.StatusRequestEntityTooLarge, tooLarge}
			}
			s.reject(w, r, bad)
			return
		case <-r.Context().Done():
			s.post(clientDisconnected{req})
			panic(http.ErrAbortHandler) // no answer: returning would send an empty 200
		case <-s.stop:
			how = failed
			s.writeLine(w, http.StatusInternalServerError, "stopped")
			return
		}
	}
}

// pollDisconnect begins to look now and then whether a client has left that nobody reads from.
func (s *server) pollDisconnect(at *<-chan time.Time) *time.Ticker {
	t := time.NewTicker(disconnectPollInterval)
	*at = t.C
	return t
}

// reject answers a malformed request, and ends its connection.
func (s *server) reject(w http.ResponseWriter, r *http.Request, bad *rejection) {
	s.failures.log("turned away", func() []slog.Attr {
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

// checkFraming turns down a request whose end two readers may see in different places, see framing.go, so that nothing that
// stands inside a body is ever read as a request. HTTP/1.0 knows no chunks, and what is safe to repeat has no body.
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
	buf := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buf)
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

// parse takes in a whole request and checks what the module and the upstreams rely on.
func (s *server) parse(w http.ResponseWriter, r *http.Request) (*clientRequest, *rejection) {
	reject := func(status int, format string, args ...any) (*clientRequest, *rejection) {
		return nil, &rejection{status, fmt.Sprintf(format, args...)}
	}
	if !strings.HasPrefix(r.RequestURI, "/") || strings.HasPrefix(r.RequestURI, "//") {
		return reject(http.StatusBadRequest, "the request target is not a path")
	}
	if len(r.Header[headerID]) != 1 || r.Header.Get(headerID) == "" {
		return reject(http.StatusBadRequest, "one X-Request-ID is needed")
	}
	for _, one := range []string{headerClass, headerTenant, headerTimeout, headerCost, headerKey} {
		if len(r.Header[one]) > 1 { // which of them would the upstream go by?
			return reject(http.StatusBadRequest, "more than one %s", one)
		}
	}
	inPath, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	name := cmp.Or(r.Header.Get(headerClass), inPath)
	class, known := (*s.classes.Load())[name]
	if !known {
		return reject(http.StatusNotFound, "unknown class %q", name)
	}
	if name != inPath { // the upstream may go by the other one, and that one may not be safe to repeat
		return reject(http.StatusBadRequest, "the header names class %q, the path %q", name, inPath)
	}
	method := http.MethodPost
	if class.Idempotency == balancer.Idempotent {
		method = http.MethodGet
	}
	if r.Method != method {
		w.Header().Set("Allow", method)
		return reject(http.StatusMethodNotAllowed, "class %s is asked for with %s", name, method)
	}
	if class.Idempotency == balancer.IdempotentByKey && r.Header.Get(headerKey) == "" {
		return reject(http.StatusBadRequest, "class %s needs an Idempotency-Key", name)
	}
	timeout := class.Deadline
	if texts, stated := r.Header[headerTimeout]; stated {
		var err error
		if timeout, err = parseTimeout(texts[0]); err != nil {
			return reject(http.StatusBadRequest, "X-Timeout: %v", err)
		}
	}
	var hint time.Duration
	if text := r.Header.Get(headerCost); text != "" {
		us, err := strconv.ParseFloat(text, 64)
		if err != nil || !(us >= 0) || us > maxTimeout.Seconds()*1e6 {
			return reject(http.StatusBadRequest, "X-Cost: %q is not a usable number of microseconds", text)
		}
		hint = time.Duration(us * float64(time.Microsecond))
	}
	if r.ContentLength > maxBodyBytes {
		return reject(http.StatusRequestEntityTooLarge, tooLarge)
	}
	conn := http.NewResponseController(w)
	var accepted time.Time
	if c, ok := r.Context().Value(connKey{}).(*framedConn); ok && c.framing.firstRequest() {
		accepted = c.arrivedAt
	}
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // reading may first write 100 Continue
	body, err := readBody(r, conn, accepted, s.budget)
	switch {
	case isTimeout(err):
		return reject(http.StatusRequestTimeout, "the body did not come in time")
	case err != nil:
		return reject(http.StatusBadRequest, "reading the body: %v", err)
	}
	header := endToEnd(r.Header)
	header.Del(headerTimeout) // what is left of it goes with each attempt
	header.Del(forwarding.HeaderHop)
	hop, _ := r.Context().Value(hopKey{}).(bool)
	return &clientRequest{id: r.Header.Get(headerID), class: name, settings: class, tenant: r.Header.Get(headerTenant),
		expiresAt: s.clock.now() + timeout, costHint: hint, method: r.Method, target: r.RequestURI, host: r.Host,
		header: header, body: body, timeout: timeout, bodyPending: body.rest != nil, forwarded: hop,
		answer: make(chan answer, 1), bodyErrors: make(chan error, 1)}, nil
}

// connKey is the context key of a client's connection.
type connKey struct{}

const tooLarge = "a body holds 32 MB at most" // maxBodyBytes

const maxTimeout = time.Hour

// parseTimeout reads a number and a unit: m milliseconds or u microseconds. To time.ParseDuration, m is minutes.
func parseTimeout(text string) (time.Duration, error) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(text, "m")
	if !ok {
		unit = time.Microsecond
		number, ok = strings.CutSuffix(text, "u")
	}
	v, err := strconv.ParseFloat(number, 64)
	if d := v * float64(unit); !ok || err != nil || math.IsNaN(v) || v < 0 || d > float64(maxTimeout) {
		return 0, fmt.Errorf("%q is not a usable number with the unit m or u", text)
	}
	return time.Duration(v * float64(unit)), nil
}
