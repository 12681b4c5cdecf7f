package sidecar

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"mosslead/balancer"
	"mosslead/internal/forwarding"
)

// maxTimeout bounds the time-out and the cost that a client may state.
const maxTimeout = time.Hour

const bodyTooLargeText = "a body holds 32 MB at most" // the number is maxBodyBytes

// connKey is the context key of a client's connection.
type connKey struct{}

// rejection is the answer to a malformed request, which the balancer does not see.
type rejection struct {
	status int
	text   string
}

// noMemory is the answer to a request for which there is no memory. It has not been processed.
var noMemory = &rejection{http.StatusServiceUnavailable, "refused: not done, trying again is harmless"}

func rejectf(status int, format string, args ...any) *rejection {
	return &rejection{status, fmt.Sprintf(format, args...)}
}

// parse checks a request, reserves its memory, and reads the part of its body that is retained.
func (s *server) parse(w http.ResponseWriter, r *http.Request, head headSize, memory *requestReservation) (*clientRequest, *rejection) {
	if rej := checkHead(r); rej != nil {
		return nil, rej
	}
	class, rej := s.classOf(w, r)
	if rej != nil {
		return nil, rej
	}
	timeout, rej := parseClientTimeout(r, class.Deadline)
	if rej != nil {
		return nil, rej
	}
	hint, rej := parseCostHint(r)
	if rej != nil {
		return nil, rej
	}
	if !s.reserveRequest(r, head, memory, timeout) {
		return nil, s.noMemoryFor(r, class)
	}
	body, rej := s.readRequestBody(w, r, memory)
	if rej == noMemory {
		rej = s.noMemoryFor(r, class)
	}
	if rej != nil {
		return nil, rej
	}
	now, readDelay := s.clock.now(), time.Duration(0)
	if c, ok := r.Context().Value(connKey{}).(*framedConn); ok {
		readDelay = c.readDelay()
		s.readDelay.observe(now, readDelay)
	}
	header := endToEnd(r.Header)
	header.Del(headerTimeout) // each attempt is sent with the time left
	header.Del(forwarding.HeaderHop)
	forwarded, _ := r.Context().Value(hopKey{}).(bool)
	return &clientRequest{
		id: r.Header.Get(headerID), class: class.Name, classSettings: class, tenant: r.Header.Get(headerTenant),
		expiresAt: now + timeout - readDelay, readDelay: readDelay, costHint: hint, method: r.Method, target: r.RequestURI, host: r.Host,
		header: header, body: body, timeout: timeout, bodyPending: body.rest != nil, forwarded: forwarded,
		memory: memory, answer: make(chan answer, 1), bodyErrors: make(chan error, 1),
	}, nil
}

// checkHead checks the target and the headers that must not be repeated, since an upstream could use another occurrence
// than this sidecar.
func checkHead(r *http.Request) *rejection {
	if !strings.HasPrefix(r.RequestURI, "/") || strings.HasPrefix(r.RequestURI, "//") {
		return rejectf(http.StatusBadRequest, "the request target is not a path")
	}
	if len(r.Header[headerID]) != 1 || r.Header.Get(headerID) == "" {
		return rejectf(http.StatusBadRequest, "one X-Request-ID is needed")
	}
	for _, name := range []string{headerClass, headerTenant, headerTimeout, headerCost, headerKey} {
		if len(r.Header[name]) > 1 {
			return rejectf(http.StatusBadRequest, "more than one %s", name)
		}
	}
	return nil
}

// classOf returns the class of a request. Header, path and method must agree on the class: an upstream that uses another of
// them could treat the request as one of a class that is not idempotent.
func (s *server) classOf(w http.ResponseWriter, r *http.Request) (balancer.Class, *rejection) {
	pathClass, name := pathClass(r), className(r)
	class, known := (*s.classes.Load())[name]
	if !known {
		return class, rejectf(http.StatusNotFound, "unknown class %q", name)
	}
	if name != pathClass {
		return class, rejectf(http.StatusBadRequest, "the header names class %q, the path %q", name, pathClass)
	}
	method := http.MethodPost
	if class.Idempotency == balancer.Idempotent {
		method = http.MethodGet
	}
	if r.Method != method {
		w.Header().Set("Allow", method)
		return class, rejectf(http.StatusMethodNotAllowed, "class %s is asked for with %s", name, method)
	}
	if class.Idempotency == balancer.IdempotentByKey && r.Header.Get(headerKey) == "" {
		return class, rejectf(http.StatusBadRequest, "class %s needs an Idempotency-Key", name)
	}
	return class, nil
}

// pathClass returns the class that the path of a request names.
func pathClass(r *http.Request) string {
	class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	return class
}

// className returns the class that a request names.
func className(r *http.Request) string { return cmp.Or(r.Header.Get(headerClass), pathClass(r)) }

// parseClientTimeout returns the time-out that the client states, or else the deadline of its class.
func parseClientTimeout(r *http.Request, deadline time.Duration) (time.Duration, *rejection) {
	values, stated := r.Header[headerTimeout]
	if !stated {
		return deadline, nil
	}
	timeout, err := parseTimeout(values[0])
	if err != nil {
		return 0, rejectf(http.StatusBadRequest, "X-Timeout: %v", err)
	}
	return timeout, nil
}

// parseTimeout parses a number with the unit m, milliseconds, or u, microseconds. (time.ParseDuration reads m as minutes.)
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

// parseCostHint parses the expected work that the client states, in microseconds on the wire. It returns 0 if none is stated.
func parseCostHint(r *http.Request) (time.Duration, *rejection) {
	text := r.Header.Get(headerCost)
	if text == "" {
		return 0, nil
	}
	us, err := strconv.ParseFloat(text, 64)
	if err != nil || !(us >= 0) || us > maxTimeout.Seconds()*1e6 {
		return 0, rejectf(http.StatusBadRequest, "X-Cost: %q is not a usable number of microseconds", text)
	}
	return time.Duration(us * float64(time.Microsecond)), nil
}

// readRequestBody reads the part of a body that is retained.
func (s *server) readRequestBody(w http.ResponseWriter, r *http.Request, memory *requestReservation) (*clientBody, *rejection) {
	if r.ContentLength > maxBodyBytes {
		return nil, rejectf(http.StatusRequestEntityTooLarge, bodyTooLargeText)
	}
	conn := http.NewResponseController(w)
	var arrivedAt time.Time
	if c, ok := r.Context().Value(connKey{}).(*framedConn); ok && c.framing.firstRequest() {
		arrivedAt = c.arrivedAt
	}
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // reading may write 100 Continue first
	body, err := readBody(r, conn, arrivedAt, memory)
	switch {
	case errors.Is(err, errNoMemory):
		return nil, noMemory
	case isTimeout(err):
		return nil, rejectf(http.StatusRequestTimeout, "the body did not come in time")
	case err != nil:
		return nil, rejectf(http.StatusBadRequest, "reading the body: %v", err)
	}
	return body, nil
}
