package registry

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"time"

	"mosslead/internal/registry/api"
	"mosslead/internal/tomlconfig"
)

// Duration is a duration in a configuration file, in the format of time.ParseDuration.
type Duration struct{ time.Duration }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) (err error) {
	d.Duration, err = time.ParseDuration(string(text))
	return err
}

// Peer is a replica of the initial quorum.
type Peer struct {
	Name string `toml:"name"`
	Raft string `toml:"raft"` // host:port for other replicas
	API  string `toml:"api"`  // host:port for clients
}

// FollowedRegion is another region whose list is replicated.
type FollowedRegion struct {
	Region string   `toml:"region"`
	API    []string `toml:"api"` // host:port of some of its replicas
}

// Config is the configuration of a replica. Absent durations and limits have the defaults in the comments.
type Config struct {
	Name         string   `toml:"name"`
	Dir          string   `toml:"dir"`       // log, snapshots and identity; absent with Dev
	Listen       string   `toml:"listen"`    // host:port of the API; absent: the address of this replica in Peers
	RaftBind     string   `toml:"raft_bind"` // host:port for other replicas; absent: the address of this replica in Peers
	Metrics      string   `toml:"metrics"`   // host:port of the metrics; absent: they are not served
	Join         bool     `toml:"join"`      // join an existing quorum instead of forming one
	Peers        []Peer   `toml:"replica"`   // the initial quorum, including this replica; with Join, some replicas of the existing quorum
	Grace        Duration `toml:"grace"`     // from the end of a lease to the removal of the entry; absent: 2s
	Preserve     float64  `toml:"preserve"`  // fraction of leases expired at once above which entries are preserved; absent: 0.2
	MaxStaleness Duration `toml:"stale"`     // age of a list that may still be served; absent: 3s
	Watchers     int      `toml:"watchers"`  // maximum number of watchers; absent: 20000
	Heartbeat    Duration `toml:"heartbeat"` // election time-out of raft; absent: 300ms

	// Region is the region of this quorum, the same at all its replicas. It is absent if there is only one region.
	Region string `toml:"region"`
	// Follow lists the other regions, whose endpoints and settings the leader replicates.
	Follow []FollowedRegion `toml:"follow"`

	// Dial overrides the addresses at which this replica reaches others, by replica name, for networks in which a replica's
	// address depends on where it is reached from.
	Dial map[string]Peer `toml:"dial"`

	Dev    bool   `toml:"-"`      // a single replica that keeps its data in memory
	Breaks string `toml:"breaks"` // a fault to inject, such as faultStaleRead, to test that checkers detect it; never in production
}

// faultStaleRead makes a replica serve a stale list as if it were fresh.
const faultStaleRead = "stale-read"

// faultRollback makes a replica apply an older state of another region over a newer one.
const faultRollback = "follow-back"

// LoadConfig reads a configuration file. An error names the file, the line and the key.
func LoadConfig(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c := &Config{}
	if err := tomlconfig.TOML(text, c); err != nil {
		var parseErr *tomlconfig.Error
		switch {
		case !errors.As(err, &parseErr):
			return nil, fmt.Errorf("%s: %w", path, err)
		case parseErr.Err == nil:
			return nil, fmt.Errorf("%s:%d:%d: unknown key %s", path, parseErr.Line, parseErr.Column, parseErr.Key)
		}
		return nil, fmt.Errorf("%s:%d:%d: %s: %w", path, parseErr.Line, parseErr.Column, parseErr.Key, parseErr.Err)
	}
	if err := c.complete(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Dev returns the configuration of a single replica without storage.
func Dev(listen string) *Config {
	c := &Config{Name: "dev", Listen: listen, Dev: true}
	_ = c.complete() // can't fail for these values
	return c
}

// complete sets the defaults of absent keys. It returns an error if the configuration is invalid.
func (c *Config) complete() error {
	c.Grace.Duration = cmp.Or(c.Grace.Duration, 2*time.Second)
	c.Preserve = cmp.Or(c.Preserve, 0.2)
	c.MaxStaleness.Duration = cmp.Or(c.MaxStaleness.Duration, 3*time.Second)
	c.Watchers = cmp.Or(c.Watchers, 20_000)
	c.Heartbeat.Duration = cmp.Or(c.Heartbeat.Duration, 300*time.Millisecond)
	if c.Dev {
		return nil
	}
	seen := map[string]bool{}
	for _, p := range c.Peers {
		switch {
		case p.Name == "" || seen[p.Name]:
			return fmt.Errorf("replica.name: %q is absent or listed twice", p.Name)
		case !api.IsAddress(p.Raft):
			return fmt.Errorf("replica.raft of %s: must be host:port, not %q", p.Name, p.Raft)
		case !api.IsAddress(p.API):
			return fmt.Errorf("replica.api of %s: must be host:port, not %q", p.Name, p.API)
		}
		seen[p.Name] = true
		if p.Name == c.Name {
			c.Listen, c.RaftBind = cmp.Or(c.Listen, p.API), cmp.Or(c.RaftBind, p.Raft)
		}
	}
	switch {
	case c.Name == "":
		return errors.New("name: absent")
	case c.Dir == "":
		return errors.New("dir: absent; a replica keeps its log there")
	case !c.Join && !seen[c.Name]:
		return fmt.Errorf("replica: there is no entry for %s", c.Name)
	case !api.IsAddress(c.Listen):
		return fmt.Errorf("listen: must be host:port, not %q", c.Listen)
	case !api.IsAddress(c.RaftBind):
		return fmt.Errorf("raft_bind: must be host:port, not %q", c.RaftBind)
	case c.Metrics != "" && !api.IsAddress(c.Metrics):
		return fmt.Errorf("metrics: must be host:port, not %q", c.Metrics)
	case !(c.Preserve > 0 && c.Preserve <= 1):
		return fmt.Errorf("preserve: must be above 0 and at most 1, not %g", c.Preserve)
	case c.Grace.Duration < 0 || c.MaxStaleness.Duration < 0 || c.Heartbeat.Duration < 0 || c.Watchers < 0:
		return errors.New("grace, stale, heartbeat and watchers: must be at least 0")
	case len(c.Region) > api.MaxLabel:
		return fmt.Errorf("region: must have at most %d bytes", api.MaxLabel)
	case c.Region == "" && len(c.Follow) > 0:
		return errors.New("region: absent, but follow lists other regions")
	case c.Breaks != "" && c.Breaks != faultStaleRead && c.Breaks != faultRollback:
		return fmt.Errorf("breaks: unknown fault %q", c.Breaks)
	}
	return c.completeFollow()
}

// MaxFollow is the largest number of regions to follow.
const MaxFollow = 15

func (c *Config) completeFollow() error {
	if len(c.Follow) > MaxFollow {
		return fmt.Errorf("follow: %d regions are listed, at most %d are allowed", len(c.Follow), MaxFollow)
	}
	seen := map[string]bool{c.Region: true}
	for _, f := range c.Follow {
		switch {
		case f.Region == "" || len(f.Region) > api.MaxLabel || seen[f.Region]:
			return fmt.Errorf("follow.region: %q is absent, longer than %d bytes, the name of this one, or listed twice", f.Region, api.MaxLabel)
		case len(f.API) == 0:
			return fmt.Errorf("follow.api of %s: absent", f.Region)
		}
		seen[f.Region] = true
		for _, address := range f.API {
			if !api.IsAddress(address) {
				return fmt.Errorf("follow.api of %s: must be host:port, not %q", f.Region, address)
			}
		}
	}
	return nil
}

// self returns the name and addresses of this replica as they are announced to others.
func (c *Config) self() Peer {
	for _, p := range c.Peers {
		if p.Name == c.Name {
			return p
		}
	}
	return Peer{Name: c.Name, Raft: c.RaftBind, API: c.Listen}
}
