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

// What operators are told of single requests: one line for each that ended badly, with every attempt and what
// its connection had been through, and one for each that was rejected unread. Lines are bounded: a bad
// minute must not cost the CPU that is needed to get out of it.

const (
	maxFailureLines = 20  // a second, and as many at once
	maxLateLines    = 2   // the same, on requests that were served late: a few tell enough
	maxQuotedBytes  = 160 // of what a peer may have worded
)

// The components that the log's lines name.
const (
	ofRequests  = "requests"
	ofClients   = "clients"
	ofCounts    = "counts"
	ofDiscovery = "discovery"
	ofHandover  = "handover"
	ofReload    = "reload"
	ofDecisions = "decisions"
	ofState     = "state"
	ofSettings  = "settings"
)

// logAttrs writes a line of the log.
func logAttrs(level slog.Level, component, text string, attrs ...slog.Attr) {
	slog.LogAttrs(context.Background(), level, text, append([]slog.Attr{slog.String("component", component)}, attrs...)...)
}

// logWarning writes a line on something that went wrong.
func logWarning(component, text string, err error) {
	logAttrs(slog.LevelWarn, component, text, slog.Any("err", err))
}

// limitedLog bounds a log's lines, and counts those that it left out.
type limitedLog struct {
	limit   *rate.Limiter
	dropped atomic.Int64
}

func newLimitedLog(perSecond int) *limitedLog {
	return &limitedLog{limit: rate.NewLimiter(rate.Limit(perSecond), perSecond)}
}

// log writes a line on a request, with what attrs gives, unless there were too many; then attrs is not asked.
func (l *limitedLog) log(text string, attrs func() []slog.Attr) {
	if !l.limit.Allow() {
		l.dropped.Add(1)
		return
	}
	all := attrs()
	if dropped := l.dropped.Swap(0); dropped > 0 {
		all = append(all, slog.Int64("left_out", dropped))
	}
	logAttrs(slog.LevelWarn, ofRequests, text, all...)
}

// quoteShort makes what a peer sent fit for a line.
func quoteShort(s string) string { return fmt.Sprintf("%q", truncate(s)) }

// truncate bounds what a peer sent, for an attribute of the log, which is quoted there.
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

// connUse is what an attempt's connection had been through when the attempt took it.
type connUse struct {
	nth  int           // request on this connection, from 1; 0: none was had
	idle time.Duration // since the request before
}

// describeAttempts words a request's way: its attempts in order, each with its upstream, end, time and connection.
func (f *inFlightRequest) describeAttempts(now time.Duration) string {
	var s strings.Builder
	for i, a := range f.attempts {
		if i > 0 {
			s.WriteString("; ")
		}
		if a.endedAt == 0 {
			fmt.Fprintf(&s, "%s out for %v", a.upstream, ms(now-a.sentAt))
			continue
		}
		fmt.Fprintf(&s, "%s %s in %v, use %d of its connection", a.upstream, resultNames[a.reply.result],
			ms(a.endedAt-a.sentAt), a.reply.use.nth)
		if a.reply.use.nth > 1 {
			fmt.Fprintf(&s, " after %v idle", ms(a.reply.use.idle))
		}
		if a.reply.err != nil {
			fmt.Fprintf(&s, ": %s", quoteShort(a.reply.err.Error()))
		}
	}
	return s.String()
}

func ms(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }

// attrs is what the log says of a request.
func (f *inFlightRequest) attrs(now time.Duration) []slog.Attr {
	return []slog.Attr{slog.String("request", truncate(f.request.id)), slog.String("class", f.request.class),
		millis("after_ms", now-f.acceptedAt), slog.Int64("body", f.request.body.length), slog.String("attempts", f.describeAttempts(now))}
}

// millis is a time as an attribute of the log.
func millis(key string, d time.Duration) slog.Attr {
	return slog.Float64(key, float64(ms(d).Microseconds())/1e3)
}

// attemptCounts is what became of attempts since the last line on it. The loop owns it; for requests, see stats.
type attemptCounts struct {
	results   map[balancer.Result]int
	upstreams map[string]*upstreamCounts // those with an attempt that ended; at most as many as are listed
}

// upstreamCounts is what became of the attempts at one upstream.
type upstreamCounts struct {
	ok, bad   int
	totalTime time.Duration // of all ok ones together
}

func newAttemptCounts() attemptCounts {
	return attemptCounts{results: map[balancer.Result]int{}, upstreams: map[string]*upstreamCounts{}}
}

// ended counts an attempt. One that was never sent tells nothing of its upstream.
func (c *attemptCounts) ended(upstream string, res balancer.Result, bytesReserved time.Duration) {
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
		u.ok++
		u.totalTime += bytesReserved
	} else {
		u.bad++
	}
}

// byUpstream words the attempts at each upstream: how many were served, their mean time, and how many were not.
func (c *attemptCounts) byUpstream(zone func(upstream string) string) string {
	var s strings.Builder
	for _, name := range slices.Sorted(maps.Keys(c.upstreams)) {
		u := c.upstreams[name]
		fmt.Fprintf(&s, "%s@%s %d", name, zone(name), u.ok)
		if u.ok > 0 {
			fmt.Fprintf(&s, " in %dms", (u.totalTime / time.Duration(u.ok)).Milliseconds())
		}
		if u.bad > 0 {
			fmt.Fprintf(&s, " bad %d", u.bad)
		}
		s.WriteString(", ")
	}
	return strings.TrimSuffix(s.String(), ", ")
}

// attempts is how many attempts had each result, as an attribute of the log.
func (c *attemptCounts) attempts() slog.Attr {
	var each []any
	for result := balancer.OK; result <= balancer.NotSent; result++ {
		each = append(each, slog.Int(resultNames[result], c.results[result]))
	}
	return slog.Group("attempts", each...)
}
