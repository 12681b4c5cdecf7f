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

// Log lines on single requests: one for each that failed or was late, with all its attempts and their connections, and one
// for each that was rejected unread. Their rate is limited, so that logging does not use the CPU that an overload lacks.

const (
	maxFailureLines = 20  // per second, and in a burst
	maxLateLines    = 2   // the same, on requests that were served late
	maxQuotedBytes  = 160 // of text sent by a peer
)

// Components of log lines.
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

// logAttrs logs a line of a component.
func logAttrs(level slog.Level, component, text string, attrs ...slog.Attr) {
	slog.LogAttrs(context.Background(), level, text, append([]slog.Attr{slog.String("component", component)}, attrs...)...)
}

// logWarning logs an error as a warning.
func logWarning(component, text string, err error) {
	logAttrs(slog.LevelWarn, component, text, slog.Any("err", err))
}

// limitedLog limits the rate of log lines, and counts those left out. Safe for concurrent use.
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

// quoteShort quotes and shortens text sent by a peer.
func quoteShort(s string) string { return fmt.Sprintf("%q", truncate(s)) }

// truncate shortens text sent by a peer, for an attribute, which slog quotes.
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

// connUse is how an attempt's connection had been used before.
type connUse struct {
	nth  int           // number of the request on its connection, from 1; 0: there was no connection
	idle time.Duration // since the previous request
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
		if a.reply.err != nil {
			fmt.Fprintf(&s, ": %s", quoteShort(a.reply.err.Error()))
		}
	}
	return s.String()
}

func roundForLog(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }

// attrs returns the log attributes of a request.
func (f *inFlightRequest) attrs(now time.Duration) []slog.Attr {
	return []slog.Attr{slog.String("request", truncate(f.request.id)), slog.String("class", f.request.class),
		millisecondsAttr("after_ms", now-f.acceptedAt), slog.Int64("body", f.request.body.length), slog.String("attempts", f.describeAttempts(now))}
}

// millisecondsAttr returns a duration in milliseconds as a log attribute.
func millisecondsAttr(key string, d time.Duration) slog.Attr {
	return slog.Float64(key, float64(roundForLog(d).Microseconds())/1e3)
}

// attemptCounts counts the results of attempts since the last line of statistics. The dispatcher owns it; for requests, see
// stats.
type attemptCounts struct {
	results   map[balancer.Result]int
	upstreams map[string]*upstreamCounts // those with an attempt that ended
}

// upstreamCounts counts the results of the attempts at one upstream.
type upstreamCounts struct {
	served, unserved int
	totalTime        time.Duration // of all that were served
}

func newAttemptCounts() attemptCounts {
	return attemptCounts{results: map[balancer.Result]int{}, upstreams: map[string]*upstreamCounts{}}
}

// add counts an attempt; for its upstream only if it was sent.
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
	var each []any
	for result := balancer.OK; result <= balancer.NotSent; result++ {
		each = append(each, slog.Int(resultNames[result], c.results[result]))
	}
	return slog.Group("attempts", each...)
}
