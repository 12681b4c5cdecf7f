package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"mosslead/balancer"
)

// A request that failed or was late is logged in one line, with all its attempts and their connections. So is a request that
// was rejected before admission, and so is each further attempt, with the results of the earlier ones. The rate of these
// lines is limited, so that logging does not use CPU time that is scarce in an overload.

const (
	maxFailureLines = 20  // lines on failed requests per second, and in one burst
	maxLateLines    = 2   // lines on requests that were served late per second, and in one burst
	maxRetryLines   = 5   // lines on further attempts of requests per second, and in one burst
	maxQuotedBytes  = 160 // maximum length of text from a peer in a log line
)

// Values of the log attribute "component".
const (
	componentRequests  = "requests"
	componentClients   = "clients"
	componentCounts    = "counts"
	componentDiscovery = "discovery"
	componentHandover  = "handover"
	componentReload    = "reload"
	componentDecisions = "decisions"
	componentState     = "state"
	componentSettings  = "settings"
)

// logAttrs logs a line of a component with attributes.
func logAttrs(level slog.Level, component, text string, attrs ...slog.Attr) {
	slog.LogAttrs(context.Background(), level, text, append([]slog.Attr{slog.String("component", component)}, attrs...)...)
}

// logWarning logs an error as a warning.
func logWarning(component, text string, err error) {
	logAttrs(slog.LevelWarn, component, text, slog.Any("err", err))
}

// limitedLog limits the rate of log lines, and counts the lines that it drops. It is safe for concurrent use.
type limitedLog struct {
	limit   *rate.Limiter
	dropped atomic.Int64
}

func newLimitedLog(perSecond int) *limitedLog {
	return &limitedLog{limit: rate.NewLimiter(rate.Limit(perSecond), perSecond)}
}

// log logs a line with the result of attrs, which is called only if the limit allows the line.
func (l *limitedLog) log(text string, attrs func() []slog.Attr) {
	if !l.limit.Allow() {
		l.dropped.Add(1)
		return
	}
	all := attrs()
	if dropped := l.dropped.Swap(0); dropped > 0 {
		all = append(all, slog.Int64("left_out", dropped))
	}
	logAttrs(slog.LevelWarn, componentRequests, text, all...)
}

// quoteShort shortens and quotes text sent by a peer.
func quoteShort(s string) string { return fmt.Sprintf("%q", truncate(s)) }

// truncate shortens text sent by a peer. It does not quote the text, since slog quotes attributes.
func truncate(s string) string {
	if len(s) > maxQuotedBytes {
		s = s[:maxQuotedBytes] + "..."
	}
	return s
}

var resultNames = map[balancer.Result]string{balancer.OK: "ok", balancer.ServerError: "error",
	balancer.Overloaded: "rejected", balancer.Timeout: "timeout", balancer.ConnectFailed: "connect_failed", balancer.Reset: "reset",
	balancer.Cancelled: "cancelled", balancer.NotSent: "not_sent"}

var answerNames = map[answerKind]string{served: "answered late", rejected: "rejected", failed: "failed",
	duplicate: "duplicate"}

// connUse describes how the connection of an attempt was used before.
type connUse struct {
	nth  int           // number of the request on its connection, from 1; 0 if there was no connection
	idle time.Duration // time since the previous request; 0 if there was none
}

// describeAttempts describes the attempts of a request in order, each with its upstream, result, time and connection.
func (f *inFlightRequest) describeAttempts(now time.Duration) string {
	var s strings.Builder
	for i, a := range f.attempts {
		if i > 0 {
			s.WriteString("; ")
		}
		if a.endedAt == 0 {
			fmt.Fprintf(&s, "%s out for %v", a.upstream, roundForLog(now-a.sentAt))
			continue
		}
		fmt.Fprintf(&s, "%s %s in %v, use %d of its connection", a.upstream, resultNames[a.reply.result],
			roundForLog(a.endedAt-a.sentAt), a.reply.use.nth)
		if a.reply.use.nth > 1 {
			fmt.Fprintf(&s, " after %v idle", roundForLog(a.reply.use.idle))
		}
		if a.reply.bodyPassed > 0 {
			fmt.Fprintf(&s, ", %d bytes of the body passed on", a.reply.bodyPassed)
		}
		if a.reply.err != nil {
			fmt.Fprintf(&s, ": %s", quoteShort(a.reply.err.Error()))
		}
	}
	return s.String()
}

// roundForLog rounds a duration to tenths of a millisecond.
func roundForLog(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }

// attrs returns the log attributes of a request.
func (f *inFlightRequest) attrs(now time.Duration) []slog.Attr {
	attrs := []slog.Attr{slog.String("request", truncate(f.request.id)), slog.String("class", f.request.class),
		millisecondsAttr("after_ms", now-f.acceptedAt), slog.Int64("body", f.request.body.length), slog.String("attempts", f.describeAttempts(now))}
	if f.request.conn != nil && f.request.body.receiving() {
		arrival := f.request.conn.bodyArrival()
		attrs = append(attrs, slog.Int64("body_remaining", arrival.remaining), slog.Int64("body_unread", arrival.unread),
			millisecondsAttr("body_unwritten_ms", f.request.bodyTimer.sinceUnwritten()))
	}
	return attrs
}

// millisecondsAttr returns a duration in milliseconds as a log attribute.
func millisecondsAttr(key string, d time.Duration) slog.Attr {
	return slog.Float64(key, float64(roundForLog(d).Microseconds())/1e3)
}

// attemptCounts counts the results of attempts since the last log line of statistics. Only the goroutine of the dispatcher
// uses it. Requests are counted by stats.
type attemptCounts struct {
	results   map[balancer.Result]int
	upstreams map[string]*upstreamCounts // by name; holds only upstreams with an attempt that ended
}

// upstreamCounts counts the results of the attempts at one upstream.
type upstreamCounts struct {
	served, unserved int
	totalTime        time.Duration // total duration of the served attempts
}

func newAttemptCounts() attemptCounts {
	return attemptCounts{results: map[balancer.Result]int{}, upstreams: map[string]*upstreamCounts{}}
}

// add counts an attempt that ended. It counts for its upstream only if it was sent.
func (c *attemptCounts) add(upstream string, res balancer.Result, elapsed time.Duration) {
	c.results[res]++
	if res == balancer.NotSent {
		return
	}
	u := c.upstreams[upstream]
	if u == nil {
		u = &upstreamCounts{}
		c.upstreams[upstream] = u
	}
	if res == balancer.OK {
		u.served++
		u.totalTime += elapsed
	} else {
		u.unserved++
	}
}

// describeByUpstream describes the attempts at each upstream: the number served, their mean time, and the number not served.
func (c *attemptCounts) describeByUpstream(zone func(upstream string) string) string {
	var s strings.Builder
	for _, name := range slices.Sorted(maps.Keys(c.upstreams)) {
		u := c.upstreams[name]
		fmt.Fprintf(&s, "%s@%s %d", name, zone(name), u.served)
		if u.served > 0 {
			fmt.Fprintf(&s, " in %dms", (u.totalTime / time.Duration(u.served)).Milliseconds())
		}
		if u.unserved > 0 {
			fmt.Fprintf(&s, " bad %d", u.unserved)
		}
		s.WriteString(", ")
	}
	return strings.TrimSuffix(s.String(), ", ")
}

// attr returns the number of attempts with each result, as a log attribute.
func (c *attemptCounts) attr() slog.Attr {
	var counts []any
	for result := balancer.OK; result <= balancer.NotSent; result++ {
		counts = append(counts, slog.Int(resultNames[result], c.results[result]))
	}
	return slog.Group("attempts", counts...)
}
