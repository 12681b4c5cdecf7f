package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"mosslead/internal/lab/fake"
	"mosslead/internal/lab/load"
	"mosslead/internal/lab/loopback"
	"mosslead/internal/lab/model"
	"mosslead/internal/lab/pause"
	"mosslead/internal/lab/proc"
	"mosslead/internal/lab/record"
	"mosslead/internal/registry/api"
)

const (
	lookEvery   = 200 * time.Millisecond // at what is in force at a real one
	readyWithin = 20 * time.Second
	loadRate    = 4 // requests a second for each real sidecar that has clients

	sidecarSockets = 512
	sidecarMemory  = 32 // MB, what control and requests together may take
)

// real is a sidecar process with its upstream, which is registered as a hollow one's is.
type real struct {
	name     string
	number   int // among the processes of the run
	zone     string
	service  string
	ops      string // where it tells its figures
	bare     bool   // without clients: all that it spends is control
	listen   string
	door     *door
	child    *proc.Child
	upstream *fake.Upstream
	mu       sync.Mutex
	lines    []*Message // that were carried to it since the door was asked last
}

// newReal starts the upstream; the sidecar comes later.
func newReal(name string, number int, zone, service string, bare bool, replicas []string, rec *record.Record) (*real, error) {
	r := &real{name: name, number: number, zone: zone, service: service, bare: bare}
	var err error
	r.door, err = newDoor(replicas, func(text []byte) {
		var l api.WatchEvent
		if json.Unmarshal(text, &l) == nil {
			r.told(message(l))
		}
	})
	if err != nil {
		return nil, err
	}
	spec := model.Spec{Cores: 8, Speed: 1, SlotsPerCore: 4, QueuePerCore: 64}
	r.upstream = fake.NewUpstream(name, "127.0.0.1:0", spec, rec, func() {})
	if err := r.upstream.Start(uint64(number)+1, false); err != nil {
		r.door.close()
		return nil, err
	}
	r.listen, err = loopback.Address()
	if err == nil {
		r.ops, err = loopback.Address()
	}
	return r, err
}

// start starts the sidecar.
func (r *real) start(program []string, dir string, fleet int) error {
	config := sidecarConfig(r.name, r.listen, r.zone, r.service, r.door.addresses(), r.number, fleet)
	config["ops"] = r.ops
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return fmt.Errorf("configuration of %s: %w", r.name, err)
	}
	path, tmp := filepath.Join(dir, r.name+".json"), filepath.Join(dir, r.name+".tmp")
	if err := errors.Join(os.WriteFile(path, text, 0o644), os.MkdirAll(tmp, 0o755)); err != nil {
		return fmt.Errorf("configuration of %s: %w", r.name, err)
	}
	r.child, err = proc.Start(proc.Spec{Name: r.name, Path: program[0], Args: program[1:], Dir: dir, LogFile: filepath.Join(dir, r.name+".log"),
		Env: []string{"GW_CONFIG=" + path, "GW_NAME=" + r.name, "TMPDIR=" + tmp}})
	return err
}

// settings are those of every sidecar of the run, hollow ones too.
func settings(zone string, me, fleet int) map[string]any {
	return map[string]any{
		"Balancers": fleet, "Me": me, "Zone": zone, "FailureDomains": zones(), "Discovery": "push", "TickMs": 5, "WorthBy": "request",
		"Weights": "rough", "OverShareWorth": 0.05,
		"Classes": []map[string]any{{"Name": "read", "Semantics": "retryable", "AimMs": 300, "DeadlineMs": 1600, "Importance": 2,
			"LateShare": 0.25, "KeyScope": "all", "Stream": false}},
		"Tenants": []map[string]any{{"Name": "tenant-1", "Fraction": 1}},
		"Limits": map[string]any{"Cancelling": true, "ConnIdleMs": 60000, "ConnectTimeoutMs": 200, "Probes": true, "SendCap": 6,
			"StreamsPerConn": 1, "SecondCopies": false, "RetryAfter": false},
		"Prices": map[string]any{"CrossZone": 0.1, "LateFail": 0.03, "Probe": 0.002, "Waste": 0.2},
		"Rules":  map[string]any{"ColdFrom": 0.3, "WarmUpMs": 4000, "FallMultiple": 4, "FallMs": 1000, "DrainGraceMs": 3000},
	}
}

// ready waits until the sidecar takes clients.
func (r *real) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{}).DialContext}}
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.listen+"/-/ready", nil)
		if err != nil {
			return err
		}
		if resp, err := c.Do(req); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-r.child.Ended():
			return fmt.Errorf("%s ended before it was ready: %s", r.name, r.child.Exit())
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready within %v", r.name, readyWithin)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (r *real) close() {
	if r.child != nil {
		_ = r.child.Kill() // whatever came of it
	}
	r.upstream.Close()
	r.door.close()
}

// told notes a line that was carried to the sidecar. Whether it takes that in is its own to decide: a list that goes back is doubted.
func (r *real) told(m *Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, m)
}

// follows asks the sidecar at its operators' door which list and which settings are in force, until ctx ends, and tells took of each
// change. So what is seen there is late by lookEvery at the most.
func (r *real) follows(ctx context.Context, took func(*Message)) {
	for list, settings := int64(0), int64(0); pause.For(ctx, lookEvery); {
		l, s, err := r.figures()
		if err != nil {
			list, settings = 0, 0 // it is down, and begins anew
			continue
		}
		r.mu.Lock()
		lines := r.lines
		r.lines = nil
		var left []*Message
		for _, m := range lines {
			switch {
			case m.Index > l: // not in force yet
				left = append(left, m)
			case m.Index > list:
				took(m)
				list = m.Index
			}
		}
		r.lines = append(left, r.lines...)
		r.mu.Unlock()
		if l < list {
			took(&Message{Index: l}) // it went back
			list = l
		}
		if s > 0 && s != settings {
			took(inForce(r.service, s))
			settings = s
		}
	}
}

// figures are the versions that the operators' door tells.
func (r *real) figures() (list, settings int64, err error) {
	c, err := net.DialTimeout("tcp", r.ops, time.Second)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Second)) // where it fails, so does what follows
	if _, err := io.WriteString(c, "STATS\n"); err != nil {
		return 0, 0, err
	}
	n := 0
	lines := bufio.NewScanner(c)
	for lines.Scan() {
		for format, to := range map[string]*int64{"gw.settings_version:%d|g": &settings, "gw.list_version:%d|g": &list} {
			if _, err := fmt.Sscanf(lines.Text(), format, to); err == nil {
				n++
			}
		}
	}
	if n != 2 {
		return 0, 0, fmt.Errorf("%s tells no versions: %w", r.name, errors.Join(lines.Err(), io.ErrUnexpectedEOF))
	}
	return list, settings, nil
}

// traffic sends even load to those with clients until ctx ends, and gives what share was served once it has.
func traffic(ctx context.Context, rec *record.Record, all []*real, length time.Duration, seed uint64) (wait func() (sent, served int)) {
	var names, at []string
	for _, r := range all {
		if !r.bare {
			names, at = append(names, r.name), append(at, r.listen)
		}
	}
	done := make(chan struct{})
	from := rec.Now()
	if len(names) == 0 {
		close(done)
	} else {
		plan := load.Draw(load.Spec{Length: length, Rate: float64(loadRate * len(names)), Keys: 100, KeyZipf: 0.75, TryShare: [2]float64{0.7, 1},
			Classes: []load.Class{{Name: "read", Share: 1, Work: 2 * time.Millisecond, Aim: 300 * time.Millisecond, Deadline: 1600 * time.Millisecond, Worth: 2, Safe: true}},
			Tenants: []load.Tenant{{Name: "tenant-1", Share: 1}}}, len(names), seed)
		clients := load.NewClients(rec, names, at, 64)
		go func() {
			defer close(done)
			clients.Run(ctx, plan, from)
		}()
	}
	return func() (sent, served int) {
		<-done
		rec.Change(func() {
			for _, q := range rec.Requests {
				if q.Intended < from || q.End == record.Unsent {
					continue
				}
				sent++
				if q.End == record.Served {
					served++
				}
			}
		})
		return sent, served
	}
}
