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
	maxKillDeadline   = 3 * time.Second // deadlines that are longer count as this, see killAfter
	killMargin        = 700 * time.Millisecond
	minShutDelay      = 200 * time.Millisecond // new connections come for so long after SIGTERM
	maxShutDelay      = 400 * time.Millisecond
	busyStartWindow   = 700 * time.Millisecond // connections that are kept busy have begun to be
	opsTimeout        = 3 * time.Second
)

// sidecar is a party that is a real process, or one after another.
type sidecar struct {
	name   string
	number int
	zone   string
	dir    string // its own: configuration, log, TMPDIR and state
	agent  *fake.Agent
	mood   *overlay[fake.Mood]
	links  map[string]*link                 // by upstream
	peers  map[string]*overlay[relay.State] // links to other sidecars for what they share, by name

	windows  map[string]*window // by replica, where there is a list service
	replicas []string           // the windows' addresses

	mu             sync.Mutex // held while a process is started or ended
	child          *proc.Child
	life           *record.Life
	starts         int
	diskFullFaults int // faults that leave no room on its disk
	stopping       bool
}

type link struct {
	*relay.Link
	overlay *overlay[relay.State]
}

// addSidecar makes the party, with its agent of discovery and a link to each upstream; it does not run yet.
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

// config words a sidecar's configuration as the platform does.
func (p *play) config(s *sidecar, known *fake.Listing) ([]byte, error) {
	c := map[string]any{
		"name": s.name, "listen": p.addrs.sidecar(s.number, sidecarPort), "discovery": s.discovery(),
		"seed":     fmt.Sprintf("%x", p.seed*1_000_003+uint64(s.number)*7919+uint64(s.starts)+1),
		"limits":   map[string]any{"cores": p.experiment.Fleet.Cores, "memory_mb": p.experiment.Fleet.MemoryMB, "sockets": p.experiment.Fleet.Sockets},
		"settings": settings(p.experiment, s.zone, s.number),
	}
	if known != nil {
		c["known"] = known
	}
	if p.experiment.Fleet.Door {
		c["ops"] = p.addrs.sidecar(s.number, opsPort)
	}
	if p.variant.Share {
		c["peers"] = p.peerConfig(s)
	}
	if p.variant.State {
		c["state"] = filepath.Join(s.dir, "state")
	}
	maps.Copy(c, p.variant.Config)
	return json.MarshalIndent(c, "", " ")
}

// discovery is where the sidecar asks for the list.
func (s *sidecar) discovery() string {
	if len(s.replicas) > 0 {
		return strings.Join(s.replicas, ",")
	}
	return s.agent.Address()
}

// settings words the settings as the platform's configuration has them.
func settings(e *experiment.Experiment, zone string, me int) map[string]any {
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
		"Balancers": e.Fleet.Sidecars, "Me": me, "Zone": zone, "FailureDomains": e.Fleet.Zones, "Discovery": "push", "TickMs": 5, "WorthBy": "request",
		"Weights": "rough", "Classes": classes, "Tenants": tenants, "OverShareWorth": 0.05,
		"Limits": map[string]any{"Cancelling": true, "ConnIdleMs": 60000, "ConnectTimeoutMs": 200, "Probes": true, "SendCap": e.Rules.MaxAttempts,
			"StreamsPerConn": 1, "SecondCopies": false, "RetryAfter": false},
		"Prices": map[string]any{"CrossZone": 0.1, "LateFail": 0.03, "Probe": 0.002, "Waste": 0.2},
		"Rules": map[string]any{"ColdFrom": e.Rules.ColdFrom, "WarmUpMs": ms(e.Rules.WarmUp), "FallMultiple": e.Rules.FallMultiple,
			"FallMs": ms(e.Rules.Fall), "DrainGraceMs": ms(e.Rules.DrainGrace)},
	}
}

// startSidecar starts a process of the sidecar; it returns once the process is ready, or at its end. Nothing is started once the
// sidecar is to stay down.
func (p *play) startSidecar(s *sidecar) error {
	s.mu.Lock()
	if s.child != nil || s.stopping {
		s.mu.Unlock()
		return nil
	}
	var known *fake.Listing
	if p.service == nil && (s.starts == 0 || p.variant.Known != "none") { // the service has versions of its own
		l := s.agent.Known()
		known = &l
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
	p.background(func() { // notes an end that nobody asked for
		<-child.Ended()
		p.rec.Change(func() {
			if life.End == 0 {
				life.End, life.Exit = p.rec.Now(), child.Exit()
			}
		})
	})
	return p.awaitReady(s, child, life)
}

func (p *play) awaitReady(s *sidecar, child *proc.Child, life *record.Life) error {
	address := p.addrs.sidecar(s.number, sidecarPort)
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(readyPollInterval) {
		select {
		case <-child.Ended():
			_ = child.Kill() // nothing is left to kill: it waits until the log is written
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

// ready asks once.
func ready(address string) bool {
	c, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Second)) // where it fails, so does what follows
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

// logTail is the end of a sidecar's log, on one line.
func (p *play) logTail(s *sidecar) string {
	text, err := os.ReadFile(filepath.Join(s.dir, "log"))
	if err != nil || len(text) == 0 {
		return "empty"
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(lines[max(0, len(lines)-3):], " | ")
}

// kill ends the sidecar's process as kill -9 does; it stays down until run.
func (p *play) kill(s *sidecar) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.child == nil {
		return
	}
	p.sample(s)
	p.rec.Change(func() { // first: whatever a client sees then is due to this
		if s.life.End == 0 {
			s.life.End, s.life.Killed = p.rec.Now(), true
		}
	})
	p.note(s.child.Kill())
	s.child = nil
}

// terminate asks the sidecar's process to end, and waits until it has. One that is late is killed, as the platform does; clients
// soon open no new connections to it, and keep a share of those that they have busy.
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
		p.rec.Change(func() { // first, see kill
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

// killAfter is when SIGKILL follows SIGTERM: no sooner than the protocol page has it, and no later.
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

// sample notes what the kernel counts; the caller holds s.mu.
func (p *play) sample(s *sidecar) {
	if s.child == nil {
		return
	}
	if use, err := s.child.Use(); err == nil { // an error: it has ended
		p.rec.Sample(record.Sample{At: p.rec.Now(), Party: s.name, Start: s.starts, Descriptors: use.Descriptors, MemoryMB: use.MemoryMB, CPU: use.CPU})
	}
}

// callOps asks the sidecar's door, and gives the answer's first line.
func (p *play) callOps(s *sidecar, line string) (string, error) {
	c, err := net.DialTimeout("tcp", p.addrs.sidecar(s.number, opsPort), opsTimeout)
	if err != nil {
		return "", fmt.Errorf("door of %s: %w", s.name, err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(opsTimeout)) // where it fails, so does what follows
	if _, err := io.WriteString(c, line+"\n"); err != nil {
		return "", fmt.Errorf("door of %s: %w", s.name, err)
	}
	answer, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		return "", fmt.Errorf("door of %s: %w", s.name, err)
	}
	return strings.TrimSpace(answer), nil
}
