package plays

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"mosslead/internal/lab/capacity"
	"mosslead/internal/lab/loadtest"
)

const (
	watchChanges  = 12
	watchEntries  = 450 // entries of a region
	renewLength   = 6 * time.Second
	writesLength  = 6 * time.Second
	returnsWithin = time.Second
	cutLength     = 5 * time.Second
)

// runner returns a loadtest.Runner with a directory of its own.
func (p *Player) runner(dir string) (loadtest.Runner, error) {
	dir = filepath.Join(p.Dir, dir)
	return loadtest.Runner{Command: p.Service, Dir: dir}, os.MkdirAll(dir, 0o755)
}

func init() {
	plays["watchers"] = play{
		question: "What does a replica spend on those who watch its list?",
		how: "resident memory of one replica (the kernel's count) after so many have opened a watch, less that before; its processor time for a change of one entry of 450, " +
			"told to all, in hundredths of a second over twelve changes; exchange_cpu_us: processor time of both ends of a bare exchange of 200 bytes over loopback, in the same run",
		series:      []capacity.Series{{Name: "memory_kb", Unit: "KB", Form: "watchers"}, {Name: "cpu_ms_change", Unit: "ms", Form: "watchers"}},
		sampleSizes: eachSize("watchers", 200, 400, 800, 1200), repeats: 2, checkSizes: sizes{"watchers": 1800},
		exchange: true,
		run: func(p *Player, ctx context.Context, at sizes, dir string) (map[string]float64, error) {
			r, err := p.runner(dir)
			if err != nil {
				return nil, err
			}
			w, err := r.MeasureWatchers(ctx, int(at["watchers"]), watchEntries, watchChanges)
			if err == nil && w.Unheard > 0 {
				err = fmt.Errorf("%d lines did not come", w.Unheard)
			}
			return map[string]float64{"memory_kb": w.KBPerWatcher * at["watchers"], "cpu_ms_change": w.CPUPerChange, "p99_ms": w.P99Ms}, err
		},
	}
	plays["return"] = play{
		question: "What does it take that all watchers come back at once and want the whole list?",
		how: "all open a watch within 1 s at one replica, each without a version; bytes as watchers read them up to the end of their first line, the replica's processor time " +
			"over all of it and its resident memory at the end",
		series: []capacity.Series{{Name: "bytes", Unit: "bytes", Form: "watchers*entries"}, {Name: "cpu_ms", Unit: "ms", Form: "watchers*entries"},
			{Name: "memory_mb", Unit: "MB", Form: "watchers*entries"}},
		sampleSizes: []sizes{{"watchers": 150, "entries": 225}, {"watchers": 300, "entries": 450}, {"watchers": 450, "entries": 900}, {"watchers": 900, "entries": 900}, {"watchers": 900, "entries": 1350}},
		repeats:     2, checkSizes: sizes{"watchers": 1800, "entries": 1800},
		exchange: true,
		run: func(p *Player, ctx context.Context, at sizes, dir string) (map[string]float64, error) {
			r, err := p.runner(dir)
			if err != nil {
				return nil, err
			}
			m, err := r.MeasureReturn(ctx, int(at["watchers"]), int(at["entries"]), true, returnsWithin)
			return map[string]float64{"bytes": float64(m.Bytes), "cpu_ms": m.CPUMs, "memory_mb": m.MemoryMB, "all_back_s": m.AllBack, "failed": float64(m.Failed)}, err
		},
	}
	plays["renewals"] = play{
		question:    "What do signs of life cost a quorum of three?",
		how:         "450 leases renewed one by one for 6 s, a third through each replica; processor time by the kernel's count, of the leader and of the other two together",
		series:      []capacity.Series{{Name: "leader_cores", Unit: "cores", Form: "renewals"}, {Name: "followers_cores", Unit: "cores", Form: "renewals"}},
		sampleSizes: eachSize("renewals", 45, 90, 180, 270), repeats: 2, checkSizes: sizes{"renewals": 600},
		exchange: true,
		run: func(p *Player, ctx context.Context, at sizes, dir string) (map[string]float64, error) {
			r, err := p.runner(dir)
			if err != nil {
				return nil, err
			}
			m, err := r.MeasureRenewals(ctx, 3, watchEntries, at["renewals"], p.scaled(renewLength))
			if err == nil && m.Failed+m.Lost > 0 {
				err = fmt.Errorf("%d renewals failed, %d leases were lost", m.Failed, m.Lost)
			}
			return map[string]float64{"leader_cores": m.Leader, "followers_cores": m.Cores - m.Leader, "took_per_s": m.Took, "p99_ms": m.P99Ms}, err
		},
	}
	plays["writes"] = play{
		question: "What does a change of the list cost a quorum of three?",
		how: "450 entries, one after another drained and called back at a rate for 6 s, through any replica; processor time, memory and bytes read and written (files and streams " +
			"together) by the kernel's counts, of the leader and of one follower on the mean",
		series: []capacity.Series{{Name: "leader_cores", Unit: "cores", Form: "changes"}, {Name: "follower_cores", Unit: "cores", Form: "changes"},
			{Name: "leader_bytes", Unit: "bytes/s", Form: "changes"}, {Name: "follower_bytes", Unit: "bytes/s", Form: "changes"},
			{Name: "leader_mb", Unit: "MB", Form: "changes"}, {Name: "follower_mb", Unit: "MB", Form: "changes"}},
		sampleSizes: eachSize("changes", 0, 2, 5, 10, 20), repeats: 1, checkSizes: sizes{"changes": 40},
		exchange: true,
		run: func(p *Player, ctx context.Context, at sizes, dir string) (map[string]float64, error) {
			r, err := p.runner(dir)
			if err != nil {
				return nil, err
			}
			m, err := r.MeasureWrites(ctx, watchEntries, at["changes"], p.scaled(writesLength))
			if err == nil && m.Failed > 0 {
				err = fmt.Errorf("%d changes failed", m.Failed)
			}
			return map[string]float64{"leader_cores": m.Leader, "follower_cores": m.Follower, "leader_bytes": m.LeaderBytes, "follower_bytes": m.FollowerBytes,
				"leader_mb": m.LeaderMB, "follower_mb": m.FollowerMB, "took_per_s": m.Took, "p99_ms": m.P99Ms}, err
		},
	}
	plays["apart"] = play{
		question:    "What goes on in a region that is cut off from the others?",
		how:         "two regions, each a quorum of three, that follow each other; so many watch one replica of the one; all of the other's are stopped (SIGSTOP) for 5 s: watches that ended, and of registrations asked for in turn those that were refused or not answered in 1 s",
		series:      []capacity.Series{{Name: "ended", Unit: "watches", Form: "watchers"}, {Name: "refused_share", Unit: "of registrations", Form: "watchers"}},
		sampleSizes: eachSize("watchers", 50, 100, 200, 300), repeats: 1, checkSizes: sizes{"watchers": 450},
		run: func(p *Player, ctx context.Context, at sizes, dir string) (map[string]float64, error) {
			r, err := p.runner(dir)
			if err != nil {
				return nil, err
			}
			m, err := r.MeasureApart(ctx, int(at["watchers"]), cutLength)
			return map[string]float64{"ended": float64(m.Ended), "refused_share": float64(m.Refused) / float64(max(1, m.Asked)), "asked": float64(m.Asked)}, err
		},
	}
	plays["cut"] = play{
		question: "What goes on at a replica that is cut off from the majority?",
		how:      "a quorum of three; so many watch one follower; the other two are stopped (SIGSTOP) for 5 s: watches that ended, the last of them after the cut, and of registrations asked for in turn those that were refused or not answered in 1 s",
		series: []capacity.Series{{Name: "ended", Unit: "watches", Form: "watchers"}, {Name: "ended_after_s", Unit: "s", Form: "watchers"},
			{Name: "refused_share", Unit: "of registrations", Form: "watchers"}},
		sampleSizes: eachSize("watchers", 50, 100, 200, 300), repeats: 1, checkSizes: sizes{"watchers": 450},
		run: func(p *Player, ctx context.Context, at sizes, dir string) (map[string]float64, error) {
			r, err := p.runner(dir)
			if err != nil {
				return nil, err
			}
			m, err := r.MeasureCut(ctx, int(at["watchers"]), cutLength)
			return map[string]float64{"ended": float64(m.Ended), "ended_after_s": m.AfterS, "refused_share": float64(m.Refused) / float64(max(1, m.Asked)), "asked": float64(m.Asked)}, err
		},
	}
}

func microseconds(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1e3 }
