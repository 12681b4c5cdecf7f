package lab

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"mosslead/internal/lab/experiment"
	"mosslead/internal/lab/fake"
	"mosslead/internal/lab/proc"
	"mosslead/internal/lab/record"
	"mosslead/internal/lab/relay"
)

const (
	readyTimeout      = 10 * time.Second // from the start of a process
	readyPollInterval = time.Millisecond
	maxKillDeadline   = 3 * time.Second // longer deadlines count as this, see killAfter
	killMargin        = 700 * time.Millisecond
	minShutDelay      = 200 * time.Millisecond // clients open new connections for at least this long after SIGTERM
	maxShutDelay      = 400 * time.Millisecond // and for at most this long
	busyStartWindow   = 700 * time.Millisecond // after SIGTERM, connections that are kept busy begin within this time
	opsTimeout        = 3 * time.Second
)

// sidecar is a party. It runs one real process, or several one after another.
type sidecar struct {
	name   string
	number int
	zone   string
	dir    string // own directory: configuration, log, TMPDIR and state
	agent  *fake.Agent
	mood   *overlay[fake.Mood]
	links  map[string]*link                 // by upstream
	peers  map[string]*overlay[relay.State] // links to other sidecars, by name

	windows  map[string]*window // by replica, if there is a list service
	replicas []string           // the windows' addresses

	mu             sync.Mutex // held while a process is started or ended
	child          *proc.Child
	life           *record.Life
	starts         int
	diskFullFaults int // faults in force that fill its disk
	stopping       bool
}

type link struct {
	*relay.Link
	overlay *overlay[relay.State]
}

// addSidecar adds a sidecar with its discovery agent and a link to each upstream; its process is not started yet.
func (p *play) addSidecar(i int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	zones := p.experiment.Fleet.Zones
	s := &sidecar{name: fmt.Sprintf("s%d", i), number: i, zone: zones[i%len(zones)], links: map[string]*link{}}
	s.dir = filepath.Join(p.dir, s.name)
	if err := os.MkdirAll(filepath.Join(s.dir, "state"), 0o755); err != nil {
		return fmt.Errorf("directory of %s: %w", s.name, err)
	}
	for _, u := range p.upstreams {
		if err := p.addLink(s, u); err != nil {
			return err
		}
	}
	spread := p.experiment.Discovery.Spread.Duration * time.Duration(i) / time.Duration(max(1, p.experiment.Fleet.Sidecars-1))
	var err error
	s.agent, err = p.discovery.Agent(s.name, p.addrs.sidecar(i, agentPort), p.experiment.Discovery.Late.Duration+spread,
		func(upstream string) string { return p.addrs.link(i, p.upstreamNumber(upstream)) })
	if err != nil {
		return err
	}
	s.mood = newOverlay(fake.Mood{}, s.agent.Set)
	if p.service != nil {
		if err := p.addWindows(s); err != nil {
			return err
		}
	}
	if p.variant.Share {
		if err := p.addPeer(s); err != nil {
			return err
		}
	}
	p.rec.Zones[s.name] = s.zone
	p.rec.Limits[s.name] = record.Limits{Descriptors: p.experiment.Fleet.Sockets, MemoryMB: p.experiment.Fleet.MemoryMB}
	p.sidecars = append(p.sidecars, s)
	return nil
}

func (p *play) upstreamNumber(upstream string) int {
	p.numbersMu.RLock()
	defer p.numbersMu.RUnlock()
	return p.upstreamNumbers[upstream]
}

// config returns a sidecar's configuration in the platform's form.
func (p *play) config(s *sidecar, known *fake.Listing) ([]byte, error) {
	config := map[string]any{
		"name": s.name, "listen": p.addrs.sidecar(s.number, sidecarPort), "discovery": s.discovery(),
		"seed":     fmt.Sprintf("%x", p.seed*1_000_003+uint64(s.number)*7919+uint64(s.starts)+1),
		"limits":   map[string]any{"cores": p.experiment.Fleet.Cores, "memory_mb": p.experiment.Fleet.MemoryMB, "sockets": p.experiment.Fleet.Sockets},
		"settings": settings(p.experiment, s.zone, s.number),
	}
	if known != nil {
		config["known"] = known
	}
	if p.experiment.Fleet.Door {
		config["ops"] = p.addrs.sidecar(s.number, opsPort)
	}
	if p.variant.Share {
		config["peers"] = p.peerConfig(s)
	}
	if p.variant.State {
		config["state"] = filepath.Join(s.dir, "state")
	}
	maps.Copy(config, p.variant.Config)
	return json.MarshalIndent(config, "", " ")
}

// discovery returns the addresses at which the sidecar asks for the list.
func (s *sidecar) discovery() string {
	if len(s.replicas) > 0 {
		return strings.Join(s.replicas, ",")
	}
	return s.agent.Address()
}

// settings returns a sidecar's settings in the form of the platform's configuration.
func settings(e *experiment.Experiment, zone string, number int) map[string]any {
	ms := func(d experiment.Duration) float64 { return float64(d.Microseconds()) / 1e3 }
	var classes, tenants []map[string]any
	for _, c := range e.Classes {
		semantics := "retryable"
		if c.Unsafe {
			semantics = "fragile"
		}
		classes = append(classes, map[string]any{"Name": c.Name, "Semantics": semantics, "AimMs": ms(c.Aim), "DeadlineMs": ms(c.Deadline),
			"Importance": c.Worth, "LateShare": c.LateWorth, "KeyScope": "all", "Stream": false})
	}
	for _, t := range e.Tenants {
		tenants = append(tenants, map[string]any{"Name": t.Name, "Fraction": t.Share})
	}
	return map[string]any{
		"Balancers": e.Fleet.Sidecars, "Me": number, "Zone": zone, "FailureDomains": e.Fleet.Zones, "Discovery": "push", "TickMs": 5, "WorthBy": "request",
		"Weights": "rough", "Classes": classes, "Tenants": tenants, "OverShareWorth": 0.05,
		"Limits": map[string]any{"Cancelling": true, "ConnIdleMs": 60000, "ConnectTimeoutMs": 200, "Probes": true, "SendCap": e.Rules.MaxAttempts,
			"StreamsPerConn": 1, "SecondCopies": false, "RetryAfter": false},
		"Prices": map[string]any{"CrossZone": 0.1, "LateFail": 0.03, "Probe": 0.002, "Waste": 0.2},
		"Rules": map[string]any{"ColdFrom": e.Rules.ColdFrom, "WarmUpMs": ms(e.Rules.WarmUp), "FallMultiple": e.Rules.FallMultiple,
			"FallMs": ms(e.Rules.Fall), "DrainGraceMs": ms(e.Rules.DrainGrace)},
	}
}

// startSidecar starts a process of the sidecar, and returns once the process is ready or has ended. It starts nothing
// if one runs or the sidecar is to stay down.
func (p *play) startSidecar(s *sidecar) error {
	s.mu.Lock()
	if s.child != nil || s.stopping {
		s.mu.Unlock()
		return nil
	}
	var known *fake.Listing
	if p.service == nil && (s.starts == 0 || p.variant.Known != "none") { // not with the list service, which has versions of its own
		listing := s.agent.Known()
		known = &listing
	}
	text, err := p.config(s, known)
	if err == nil {
		err = os.WriteFile(filepath.Join(s.dir, "config.json"), text, 0o644)
	}
	if err != nil {
		s.mu.Unlock()
		return fmt.Errorf("configuration of %s: %w", s.name, err)
	}
	tmp := filepath.Join(s.dir, "tmp") // empty at each start
	if err := errors.Join(os.RemoveAll(tmp), os.MkdirAll(tmp, 0o755)); err != nil {
		s.mu.Unlock()
		return fmt.Errorf("TMPDIR of %s: %w", s.name, err)
	}
	s.starts++
	s.agent.Restarted(known)
	env := []string{"GW_CONFIG=" + filepath.Join(s.dir, "config.json"), "GW_NAME=" + s.name, "TMPDIR=" + tmp}
	for key, value := range p.variant.Env {
		env = append(env, key+"="+value)
	}
	life := &record.Life{Party: s.name, Start: p.rec.Now()}
	child, err := proc.Start(proc.Spec{Name: s.name, Path: p.programs.Sidecar[0], Args: p.programs.Sidecar[1:], Env: env, Dir: s.dir, LogFile: filepath.Join(s.dir, "log")})
	if err != nil {
		s.mu.Unlock()
		return err
	}
	if s.diskFullFaults > 0 {
		p.note(child.FileLimit(new(uint64)))
	}
	p.rec.Life(life)
	s.child, s.life = child, life
	s.mu.Unlock()
	p.background(func() { // records a process that ends by itself
		<-child.Ended()
		p.rec.Change(func() {
			if life.End == 0 {
				life.End, life.Exit = p.rec.Now(), child.Exit()
			}
		})
	})
	return p.awaitReady(s, child, life)
}

// awaitReady returns once the sidecar's process is ready, or with an error if it ends or takes too long.
func (p *play) awaitReady(s *sidecar, child *proc.Child, life *record.Life) error {
	address := p.addrs.sidecar(s.number, sidecarPort)
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(readyPollInterval) {
		select {
		case <-child.Ended():
			_ = child.Kill() // waits until the log is written; the process has ended
			return fmt.Errorf("%s ended before it was ready: %s; its log: %s", s.name, child.Exit(), p.logTail(s))
		case <-p.ctx.Done():
			return p.ctx.Err()
		default:
		}
		if ready(address) {
			p.rec.Change(func() { life.Ready = p.rec.Now() })
			if p.clients != nil {
				p.clients.Shut(s.number, false)
			}
			return nil
		}
	}
	return fmt.Errorf("%s was not ready within %v; its log: %s", s.name, readyTimeout, p.logTail(s))
}

// ready reports whether the sidecar answers a single readiness request with 200.
func ready(address string) bool {
	c, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Second)) // if this fails, so do the calls below
	if _, err := io.WriteString(c, "GET /-/ready HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n"); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// logTail returns the last three lines of a sidecar's log as one line.
func (p *play) logTail(s *sidecar) string {
	text, err := os.ReadFile(filepath.Join(s.dir, "log"))
	if err != nil || len(text) == 0 {
		return "empty"
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(lines[max(0, len(lines)-3):], " | ")
}

// kill ends the sidecar's process as kill -9 does; it stays down until startSidecar.
func (p *play) kill(s *sidecar) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.child == nil {
		return
	}
	p.sample(s)
	p.rec.Change(func() { // recorded first: it explains all that clients see from then on
		if s.life.End == 0 {
			s.life.End, s.life.Killed = p.rec.Now(), true
		}
	})
	p.note(s.child.Kill())
	s.child = nil
}

// terminate ends the sidecar's process by SIGTERM, and waits for it. A process that is late is killed, as on the
// platform. Clients soon open no new connections to it, but keep a share of their open ones busy.
func (p *play) terminate(s *sidecar, busy float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.child == nil {
		return
	}
	p.sample(s)
	p.rec.Change(func() { s.life.Termed = p.rec.Now() })
	ctx, ended := context.WithCancel(p.ctx)
	defer ended()
	if clients := p.clients; clients != nil {
		rng := rand.New(rand.NewPCG(p.seed, termStream+uint64(s.number)))
		shut := time.AfterFunc(minShutDelay+time.Duration(rng.Float64()*float64(maxShutDelay-minShutDelay)), func() { clients.Shut(s.number, true) })
		defer shut.Stop()
		if busy > 0 {
			p.background(func() { clients.KeepBusy(ctx, p.spec, s.number, busy, busyStartWindow, p.seed+uint64(s.starts)) })
		}
	}
	_, err := s.child.Stop(killAfter(p.experiment), func() {
		p.rec.Change(func() { // recorded first, see kill
			if s.life.End == 0 {
				s.life.End, s.life.Killed = p.rec.Now(), true
			}
		})
	})
	p.note(err)
	p.rec.Change(func() {
		if !s.life.Killed {
			s.life.End, s.life.Exit = p.rec.Now(), s.child.Exit()
		}
	})
	s.child = nil
}

// killAfter returns when SIGKILL follows SIGTERM: exactly at the time that the protocol page states.
func killAfter(e *experiment.Experiment) time.Duration {
	longest := time.Duration(0)
	for _, c := range e.Classes {
		longest = max(longest, c.Deadline.Duration)
	}
	return min(longest, maxKillDeadline) + killMargin
}

// signal sends a signal to the running process, if there is one.
func (p *play) signal(s *sidecar, sig syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.child != nil {
		p.note(s.child.Signal(sig))
	}
}

// sample records the process's use of resources as the kernel counts it; the caller holds s.mu.
func (p *play) sample(s *sidecar) {
	if s.child == nil {
		return
	}
	if usage, err := s.child.Use(); err == nil { // an error means that the process has ended
		p.rec.Sample(record.Sample{At: p.rec.Now(), Party: s.name, Start: s.starts, Descriptors: usage.Descriptors, MemoryMB: usage.MemoryMB, CPU: usage.CPU})
	}
}

// callOps sends a line to the sidecar's operators' port, and returns the first line of the answer.
func (p *play) callOps(s *sidecar, line string) (string, error) {
	c, err := net.DialTimeout("tcp", p.addrs.sidecar(s.number, opsPort), opsTimeout)
	if err != nil {
		return "", fmt.Errorf("operators' port of %s: %w", s.name, err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(opsTimeout)) // if this fails, so do the calls below
	if _, err := io.WriteString(c, line+"\n"); err != nil {
		return "", fmt.Errorf("operators' port of %s: %w", s.name, err)
	}
	answer, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		return "", fmt.Errorf("operators' port of %s: %w", s.name, err)
	}
	return strings.TrimSpace(answer), nil
}
