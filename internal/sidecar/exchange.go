package sidecar

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"mosslead/balancer"
)

// upstreamExchange is one request and its answer on a connection. Its attempt waits for the answer until ctx ends. After that
// the late answer is still read until readCtx ends, so that the connection can be used again, see awaitLateAnswer.
type upstreamExchange struct {
	pool        *upstreamPool
	ctx         context.Context
	readCtx     context.Context
	cancelRead  context.CancelFunc // ends readCtx
	conn        *upstreamConn
	clientReq   *clientRequest
	startBefore time.Duration // clock time before which it must begin; 0 if there is no limit
	use         connUse

	body      *bodyReader       // nil if the request has no body
	reply     chan attemptReply // delivers the result to the attempt
	abandoned chan struct{}     // closed when the attempt no longer waits for reply

	held          heldAnswer  // what has been read of the answer
	answered      bool        // the answer has begun, so the request may have been processed
	answeredEarly atomic.Bool // the answer began before the complete request body had been passed to the writer
}

// startExchange starts sending a request.
func (u *upstreamPool) startExchange(ctx context.Context, c *upstreamConn, r *clientRequest, startBefore time.Duration, use connUse) *upstreamExchange {
	x := &upstreamExchange{pool: u, ctx: ctx, conn: c, clientReq: r, startBefore: startBefore, use: use,
		reply: make(chan attemptReply), abandoned: make(chan struct{})}
	x.readCtx, x.cancelRead = context.WithCancel(context.WithoutCancel(ctx))
	r.memory.holdForExchange()
	go x.run()
	return x
}

// run carries out the exchange, and releases the connection.
func (x *upstreamExchange) run() {
	defer x.clientReq.memory.releaseExchange()
	rep, reusable := x.roundTrip()
	if x.body != nil {
		x.body.stop() // otherwise a late read would consume bytes that the next attempt needs
	}
	finish := func(reusable bool) {
		x.cancelRead()
		if reusable {
			x.pool.release(x.conn)
		} else {
			x.pool.discard(x.conn)
		}
	}
	if rep.rest != nil {
		rep.rest.cancelRead, rep.rest.finish = x.cancelRead, finish
	} else {
		finish(reusable)
	}
	rep.use = x.use
	if x.body != nil {
		rep.bodyPassed = x.body.delivered.Load()
	}
	select {
	case x.reply <- rep:
	case <-x.abandoned:
		rep.drop()
	}
}

// roundTrip sends the request and reads its answer, or the start of a large answer.
func (x *upstreamExchange) roundTrip() (rep attemptReply, reusable bool) {
	resp, err := x.conn.http.RoundTrip(x.request())
	if err != nil {
		return x.failureReply(err), false
	}
	x.answered = true
	defer func() {
		if rep.rest == nil {
			_ = resp.Body.Close()
		}
	}()
	switch {
	case resp.StatusCode == http.StatusSwitchingProtocols: // the request asked for no upgrade; the body of such an answer has no end
		return attemptReply{result: balancer.ServerError}, false
	case resp.StatusCode != http.StatusOK:
		return x.readErrorAnswer(resp)
	case x.answeredEarly.Load() && x.conn.uses > 1: // on a reused connection, an early answer is probably a second answer to the previous request
		return x.failureReply(errUnexpectedBytes), false
	}
	return x.readSuccess(resp)
}

// request returns the request as it is sent, with callbacks that record its progress.
func (x *upstreamExchange) request() *http.Request {
	c := x.conn
	c.checkMayBegin = func() error { return x.pool.checkMayBegin(x.ctx, c, x.clientReq, x.startBefore) }
	c.firstByteSent.Store(false)
	c.requestEncoded.Store(false)
	trace := &httptrace.ClientTrace{
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			c.requestEncoded.Store(info.Err == nil)
			if info.Err == nil && !c.writeFailed.Load() {
				x.pool.onDispatched()
			}
		},
		GotFirstResponseByte: func() {
			if x.body != nil {
				x.answeredEarly.Store(x.body.incomplete())
			}
		},
	}
	req := x.clientReq.outgoing(httptrace.WithClientTrace(x.readCtx, trace), c.address.address)
	x.body, _ = req.Body.(*bodyReader)
	timeLeft := x.clientReq.timeout.Microseconds()
	if deadline, ok := x.ctx.Deadline(); ok {
		timeLeft = max(time.Until(deadline).Microseconds(), 1)
	}
	if timeLeft > 0 {
		req.Header.Set(headerTimeout, strconv.FormatInt(timeLeft, 10)+"u")
	}
	return req
}

// failureReply returns the result of an exchange that failed with err.
func (x *upstreamExchange) failureReply(err error) attemptReply {
	neverSent, bodyErr := x.neverSentCompletely(), x.clientReq.body.readError()
	switch {
	case x.conn.beginRefused.Load():
		return attemptReply{result: balancer.NotSent, err: err}
	case neverSent && bodyErr != nil: // reading the body from the client failed
		return attemptReply{result: balancer.NotSent, err: bodyErr}
	case timedOut(x.ctx) && !x.answered && x.body != nil && x.body.stop(): // no upstream has all of the request
		return attemptReply{result: balancer.ConnectFailed, err: context.Cause(x.ctx)}
	case timedOut(x.ctx):
		return attemptReply{result: balancer.Timeout, err: err}
	case x.ctx.Err() != nil:
		return attemptReply{result: balancer.Cancelled, err: err}
	case neverSent && errors.Is(err, errAttemptEnded): // no failure of the upstream
		return attemptReply{result: balancer.NotSent, err: err}
	case neverSent && !x.answered:
		return attemptReply{result: balancer.ConnectFailed, err: err}
	}
	return attemptReply{result: balancer.Reset, err: err}
}

// neverSentCompletely ends the sending of the request, and reports whether it is certain that its last byte was not sent. That the
// library has not reported the request as written is no proof: its last write may have succeeded. The connection can't be used again.
func (x *upstreamExchange) neverSentCompletely() bool {
	x.conn.endWrites()
	incomplete := false
	if x.body != nil {
		x.body.stop()
		incomplete = x.body.incomplete()
	}
	return incomplete || !x.conn.firstByteSent.Load() || x.conn.writeFailed.Load()
}

// readSuccess reads a 200 answer.
func (x *upstreamExchange) readSuccess(resp *http.Response) (rep attemptReply, reusable bool) {
	if !x.clientReq.memory.tryReserve(headerSize(resp.Header).memory(), useHeads) {
		return x.failureReply(errNoMemory), false
	}
	start, err := x.pool.readAnswer(resp, x.deadline(), &x.held)
	if err != nil {
		return x.failureReply(err), false
	}
	rep = attemptReply{result: balancer.OK, header: endToEnd(resp.Header), body: start.body, reservedBytes: start.retained, memory: x.pool.memory}
	reusable = !resp.Close && x.conn.requestEncoded.Load()
	if start.rest == nil {
		return rep, reusable
	}
	if x.ctx.Err() != nil { // the attempt ended while the answer was read
		rep.release()
		return x.failureReply(x.ctx.Err()), false
	}
	rep.rest = &responseRest{body: start.rest, length: resp.ContentLength, bytesRead: int64(len(start.body)), stallTimeout: x.conn.writeTimeout, reusable: reusable}
	return rep, false
}

// deadline returns when the attempt ends, or zero if that is not known. An attempt that began before the body was received gets its
// deadline later, from the time that is left to the client.
func (x *upstreamExchange) deadline() time.Time {
	if deadline, ok := x.ctx.Deadline(); ok {
		return deadline
	}
	timer := x.clientReq.bodyTimer
	if timer == nil || x.clientReq.body.receiving() {
		return time.Time{}
	}
	return time.Now().Add(timer.expiresAt() - timer.clock.now())
}

// readErrorAnswer reads an answer other than 200. The connection is used again only if the answer was read to its end.
func (x *upstreamExchange) readErrorAnswer(resp *http.Response) (rep attemptReply, reusable bool) {
	refusal, bound := statesNotProcessed(resp), int64(minRetainedBytes)
	if refusal {
		bound = maxBodyBytes + 1 // it is read to its end, which comes after maxBodyBytes at the latest
	}
	_, err := io.CopyN(io.Discard, resp.Body, bound)
	complete := errors.Is(err, io.EOF)
	reusable = complete && !resp.Close && x.conn.requestEncoded.Load()
	if refusal && complete && x.isOwnAnswerOrStopped() {
		return attemptReply{result: balancer.Overloaded}, reusable && !x.conn.writesEnded
	}
	return attemptReply{result: balancer.ServerError, err: errorAnswer(resp, notEOF(err))}, reusable
}

// statesNotProcessed reports whether an answer states that its upstream has not processed the request. That is proved only once the
// answer has been read to its end: an answer that can't be read says nothing about its request.
func statesNotProcessed(resp *http.Response) bool {
	unavailable := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout
	return unavailable && resp.Header.Get(headerNotProcessed) == "1"
}

// isOwnAnswerOrStopped reports whether the answer belongs to this exchange's request, or the request is never sent completely. An early
// answer on a reused connection may be a second answer to the previous request; the request is then stopped if that is possible.
func (x *upstreamExchange) isOwnAnswerOrStopped() bool {
	mayBeForPrevious := x.answeredEarly.Load() && x.conn.uses > 1
	return !mayBeForPrevious || x.neverSentCompletely()
}

// errorAnswer returns the error of an answer other than 200; readError is that of reading its body, or nil.
func errorAnswer(resp *http.Response, readError error) error {
	if readError != nil {
		return fmt.Errorf("answered %s, unreadable: %w", resp.Status, readError)
	}
	return fmt.Errorf("answered %s", resp.Status)
}
