package sidecar

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"time"
)

// requestHandler handles one request, from its arrival to its answer, on the goroutine of its connection.
type requestHandler struct {
	server    *server
	w         http.ResponseWriter
	r         *http.Request
	conn      *framedConn
	req       *clientRequest
	outcome   answerKind // how the request was answered, for the statistics
	beginOnce sync.Once
}

// run forwards the request to a peer or passes it to the dispatcher, and answers it.
func (h *requestHandler) run() {
	s, req := h.server, h.req
	defer func() {
		h.begin()
		s.stats.end(req.class, h.outcome)
	}()
	h.followBody()
	a, done := answer{kind: duplicate}, true
	if s.forwarder.reserve(req.id) {
		defer s.forwarder.release(req.id)
		a, done = s.forwarder.forward(h.r.Context(), s.clock.now(), req)
	}
	if done {
		h.answerForwarded(a)
		return
	}
	req.disconnected = func() bool { return h.r.Context().Err() != nil || h.conn.disconnected() }
	if !s.post(requestArrived{req}) {
		h.answerStopped()
		return
	}
	h.awaitAnswer()
}

// begin counts the request, once its body has been received.
func (h *requestHandler) begin() { h.beginOnce.Do(h.server.stats.begin) }

// followBody makes the body report its completion to the dispatcher, and a read error to the handler.
func (h *requestHandler) followBody() {
	req := h.req
	if !req.bodyPending {
		h.begin()
		return
	}
	req.conn, req.bodyTimer = h.conn, newBodyTimer(h.conn, h.server.clock, req.timeout)
	req.body.onComplete = func() {
		h.begin()
		h.server.post(bodyComplete{req, req.bodyTimer.expiresAt()})
	}
	req.body.onError = func(err error) { req.bodyErrors <- err }
}

// answerForwarded answers a request that a peer has answered, or whose id is already in use.
func (h *requestHandler) answerForwarded(a answer) {
	defer a.reply.drop()
	if h.outcome = a.kind; h.r.Context().Err() != nil {
		h.outcome = disconnected
		panic(http.ErrAbortHandler)
	}
	if h.outcome == failed {
		h.server.failures.log("failed", func() []slog.Attr {
			return []slog.Attr{slog.String("request", truncate(h.req.id)), slog.String("class", h.req.class), slog.Any("forwarded", a.reply.err)}
		})
	}
	h.write(a)
}

// awaitAnswer waits for the dispatcher's answer, or for the client to disconnect. net/http reports a disconnect while it
// reads the connection; otherwise the connection is checked every disconnectPollInterval.
func (h *requestHandler) awaitAnswer() {
	pipelined := h.conn.pipelined // receives once net/http has stopped reading
	var polls <-chan time.Time
	var ticker *time.Ticker
	poll := func() {
		pipelined = nil
		ticker = time.NewTicker(h.pollInterval())
		polls = ticker.C
	}
	defer func() {
		if ticker != nil {
			ticker.Stop()
		}
	}()
	for {
		if polls == nil && h.req.body.receiving() { // the connection is read only while an attempt reads the body
			poll()
		}
		select {
		case <-pipelined:
			poll()
		case <-polls:
			if h.conn.disconnected() {
				h.abort()
			}
			if h.req.body.receiving() {
				go h.checkBodyTime() // it may wait for the kernel, and the answer must not wait for it
			}
		case a := <-h.req.answer:
			h.answerDispatched(a)
			return
		case err := <-h.req.bodyErrors:
			h.answerBodyError(err)
			return
		case <-h.r.Context().Done():
			h.abort() // returning would send an empty 200
		case <-h.server.stop:
			h.answerStopped()
			return
		}
	}
}

// pollInterval returns the time between checks of the connection.
func (h *requestHandler) pollInterval() time.Duration {
	if h.req.bodyTimer == nil {
		return disconnectPollInterval
	}
	return h.req.bodyTimer.interval
}

// checkBodyTime reports to the dispatcher if the client may have stopped waiting while its body is still received.
func (h *requestHandler) checkBodyTime() {
	h.req.bodyTimer.observe()
	if h.req.bodyTimer.expired() {
		h.server.post(bodyExpired{h.req})
	}
}

// answerDispatched writes the dispatcher's answer.
func (h *requestHandler) answerDispatched(a answer) {
	if now := h.server.clock.now(); a.decidedAt > 0 {
		h.server.answerDelay.observe(now, now-a.decidedAt)
	}
	h.outcome = a.kind
	defer a.reply.drop()
	if a.kind == disconnected {
		panic(http.ErrAbortHandler)
	}
	if h.req.forwarded && a.kind == rejected && !a.attempted { // the peer that forwarded the request then handles it itself
		h.w.Header().Set(headerNotProcessed, "1")
	}
	h.write(a)
	h.logOverdue(a)
}

// logOverdue logs an answer that was written after its client stopped waiting, with the time that it has waited to be read, for its
// timer and to be written.
func (h *requestHandler) logOverdue(a answer) {
	now, req := h.server.clock.now(), h.req
	if a.expiresAt == 0 || now <= a.expiresAt {
		return
	}
	h.server.overdue.log("answered after its time", func() []slog.Attr {
		return []slog.Attr{slog.String("request", truncate(req.id)), slog.String("class", req.class), millisecondsAttr("over_ms", now-a.expiresAt),
			millisecondsAttr("read_delay_ms", req.readDelay), millisecondsAttr("timer_delay_ms", a.timerDelay), millisecondsAttr("write_delay_ms", now-a.decidedAt)}
	})
}

// answerBodyError answers a request whose body is too slow or too large, or whose client has disconnected.
func (h *requestHandler) answerBodyError(err error) {
	h.server.post(clientDisconnected{h.req})
	if !isTimeout(err) && !errors.Is(err, errBodyLarge) {
		panic(http.ErrAbortHandler)
	}
	h.outcome = failed
	rej := &rejection{http.StatusRequestTimeout, "the body did not come in time"}
	if !isTimeout(err) {
		rej = &rejection{http.StatusRequestEntityTooLarge, bodyTooLargeText}
	}
	h.server.reject(h.w, h.r, rej)
}

// answerStopped answers a request after the dispatcher has stopped.
func (h *requestHandler) answerStopped() {
	h.outcome = failed
	h.server.writeLine(h.w, http.StatusInternalServerError, "stopped")
}

// write writes an answer. If that fails midway, the connection is aborted, so that the client notices. If the request's body is still
// arriving, its rest is discarded afterwards: a client may read its answer only after it has sent the complete body.
func (h *requestHandler) write(a answer) {
	early, conn := h.req.body.receiving(), http.NewResponseController(h.w)
	if early {
		_ = conn.EnableFullDuplex() // otherwise net/http reads the body first; it can't fail for HTTP/1.1
		h.w.Header().Set("Connection", "close")
	}
	err := h.writeOrRefuse(a)
	if early {
		_ = conn.Flush() // like the write, it fails if the client has disconnected
		h.req.body.drain(h.server.starts)
		return
	}
	if err != nil {
		h.outcome = failed // the upstream failed, or the client does not read
		panic(http.ErrAbortHandler)
	}
}

// writeOrRefuse writes an answer, or a refusal if the answer finds no memory.
func (h *requestHandler) writeOrRefuse(a answer) error {
	if a.reply.rest != nil { // otherwise a read from an upstream that stalls would outlast the client
		defer context.AfterFunc(h.r.Context(), a.reply.rest.cancelRead)()
	}
	err := h.server.writeAnswer(h.w, a, firstOrLater(h.r, useFirstAnswer, useAnswer))
	if errors.Is(err, errNoMemory) {
		h.answerWithoutMemory()
		return nil
	}
	return err
}

// abort ends a request whose client has disconnected.
func (h *requestHandler) abort() {
	h.server.post(clientDisconnected{h.req})
	panic(http.ErrAbortHandler)
}
