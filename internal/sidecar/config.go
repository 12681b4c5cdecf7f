package sidecar

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"mosslead/internal/registry/api"
	"mosslead/internal/registry/client"
	"mosslead/internal/settings"
	"mosslead/internal/wire"
)

// Config is the configuration of one sidecar.
type Config struct {
	Name      string
	Listen    string // address for clients
	Discovery string // address of discovery, or several separated by commas
	Ops       string // address for operators; empty if there is no operators' port
	State     string // directory of the state that outlives the process; empty if none is stored
	Service   string // service whose settings the list service provides; empty if those of the file are in force
	Seed      uint64
	Limits    Limits
	Peers     *Peers   // nil if the sidecar shares nothing
	Known     *listing // last known list of upstreams; nil if there is none
	Settings  wire.Settings

	keys settings.Keys // keys that the file holds
	dial dialer        // nil outside tests

	account *memoryAccount // nil outside tests: the process has an account of its own
}

// Limits holds the resources that the platform allows the process.
type Limits struct {
	Cores    float64
	MemoryMB float64
	Sockets  int
}

const (
	minSockets            = 64 // with fewer sockets, the descriptors reserved for other uses leave none for clients and upstreams
	minMemoryMB           = 16
	defaultConnectTimeout = time.Second      // if the settings have no connect timeout
	defaultConnIdle       = 10 * time.Second // if the settings have no idle time
)

// LoadConfig reads the configuration file at path. GW_OPS and GW_STATE override its keys ops and state.
func LoadConfig(path string) (*Config, error) {
	if path == "" {
		return nil, errors.New("GW_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	c, err := parseConfig(text)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	if ops := os.Getenv("GW_OPS"); ops != "" { // both processes of an upgrade may use one file, but each needs its own port
		if err := checkAddress(ops); err != nil {
			return nil, fmt.Errorf("GW_OPS: %w", err)
		}
		c.Ops = ops
	}
	if state := os.Getenv("GW_STATE"); state != "" {
		c.State = state
	}
	return c, nil
}

// ParseConfig parses the text of a configuration file.
func ParseConfig(text []byte) (*Config, error) { return parseConfig(text) }

// configFile is the JSON form of the configuration file.
type configFile struct {
	Name, Listen, Discovery, Seed string
	Ops, State, Service           string
	Peers                         *Peers
	Limits                        *struct {
		Cores    float64
		MemoryMB float64 `json:"memory_mb"`
		Sockets  float64 // not an int, since some files state an integer with a fraction of 0
	}
	Known    json.RawMessage
	Settings json.RawMessage
}

// parseConfig parses and checks everything that a sidecar relies on, including the balancer's settings, so that an error
// is found at the start and not under traffic.
func parseConfig(text []byte) (*Config, error) {
	var file configFile
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, settings.Located(text, text, err)
	}
	keys, err := settings.KeysOf(text, "known") // the keys of the entries of known are left out, since parseListing checks them
	if err != nil {
		return nil, err
	}
	c := &Config{keys: keys, Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Ops: file.Ops, State: file.State,
		Service: file.Service, Peers: file.Peers}
	if err := c.checkAddresses(); err != nil {
		return nil, err
	}
	if err := c.checkService(); err != nil {
		return nil, err
	}
	if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q is not a 64-bit hexadecimal number", file.Seed)
	}
	if c.Limits, err = file.limits(); err != nil {
		return nil, err
	}
	if len(file.Known) > 0 && string(file.Known) != "null" {
		if c.Known, err = parseListing(file.Known); err != nil {
			return nil, fmt.Errorf("known: %w", settings.Located(text, file.Known, err))
		}
	}
	if len(file.Settings) == 0 {
		return nil, errors.New("settings: missing")
	}
	parsed, err := settings.Read(text, file.Settings)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if c.Peers != nil {
		if err := c.Peers.check(); err != nil {
			return nil, fmt.Errorf("peers: %w", err)
		}
	}
	c.Settings = c.withDefaults(parsed)
	return c, nil
}

// checkAddresses checks the addresses on which the sidecar listens, and those of discovery.
func (c *Config) checkAddresses() error {
	for _, a := range []struct{ key, address string }{{"listen", c.Listen}, {"discovery", c.Discovery}, {"ops", c.Ops}} {
		if a.key == "ops" && a.address == "" {
			continue // there is no operators' port
		}
		for _, address := range splitAddresses(a.key, a.address) {
			if err := checkAddress(address); err != nil {
				return fmt.Errorf("%s: %w", a.key, err)
			}
		}
	}
	return nil
}

// checkService checks the name of the service whose settings are followed, if there is one.
func (c *Config) checkService() error {
	if c.keys["service"] && (c.Service == "" || len(c.Service) > api.MaxName) {
		return fmt.Errorf("service: the name must have 1 to %d bytes; to follow no service, leave out the key", api.MaxName)
	}
	if c.Service == "" {
		return nil
	}
	if _, err := client.Addresses(c.Discovery); err != nil {
		return fmt.Errorf("discovery: with the key service it must be the address of a list service, or several: %w", err)
	}
	return nil
}

// limits returns the limits of the process, and an error if they are missing or too low.
func (f *configFile) limits() (Limits, error) {
	if f.Limits == nil {
		return Limits{}, errors.New("limits: missing")
	}
	l := Limits{f.Limits.Cores, f.Limits.MemoryMB, int(max(-1, min(f.Limits.Sockets, math.MaxInt32)))}
	switch {
	case !(l.Cores > 0):
		return l, fmt.Errorf("limits: cores: %v is not above 0", l.Cores)
	case l.MemoryMB < minMemoryMB:
		return l, fmt.Errorf("limits: memory_mb: %v is under %d", l.MemoryMB, minMemoryMB)
	case l.Sockets < minSockets:
		return l, fmt.Errorf("limits: sockets: %d is under %d", l.Sockets, minSockets)
	}
	return l, nil
}

// withDefaults returns s with defaults in place of missing values.
func (c *Config) withDefaults(s wire.Settings) wire.Settings {
	s.ShareEvidence = c.Peers != nil
	if s.ConnectTimeout == 0 {
		s.ConnectTimeout = defaultConnectTimeout
	}
	if s.ConnIdle <= 0 {
		s.ConnIdle = defaultConnIdle
	}
	return s
}

// check returns an error that names the first key with an unusable value.
func (p *Peers) check() error {
	if err := checkAddress(p.Address); err != nil {
		return fmt.Errorf("address: %w", err)
	}
	if p.Advertise != "" {
		if err := checkAddress(p.Advertise); err != nil {
			return fmt.Errorf("advertise: %w", err)
		}
	}
	for i, seed := range p.Seeds {
		if err := checkAddress(seed); err != nil {
			return fmt.Errorf("seeds: number %d: %w", i+1, err)
		}
	}
	if p.Forward != "" {
		if err := checkAddress(p.Forward); err != nil {
			return fmt.Errorf("forward: %w", err)
		}
	}
	if p.ForwardAs != "" {
		if p.Forward == "" {
			return errors.New("forward_advertise: the key forward is missing")
		}
		if err := checkAddress(p.ForwardAs); err != nil {
			return fmt.Errorf("forward_advertise: %w", err)
		}
	}
	if p.Service != "" {
		for address := range strings.SplitSeq(p.Service, ",") {
			if err := checkAddress(address); err != nil {
				return fmt.Errorf("service: %w", err)
			}
		}
	}
	return nil
}

// checkReplaces returns an error if c lacks a key of old, the configuration in use, and so cannot replace it.
func (c *Config) checkReplaces(old *Config) error {
	if key := c.keys.Lacks(old.keys, "known"); key != "" {
		return fmt.Errorf("lacks %s", key)
	}
	return nil
}

// splitAddresses returns the addresses in a key's value. Only discovery may have several, those of a list service's replicas.
func splitAddresses(key, value string) []string {
	if key != "discovery" {
		return []string{value}
	}
	return strings.Split(value, ",")
}

func checkAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if net.ParseIP(host) == nil { // there is no DNS, and with an empty host the sidecar would listen on all interfaces
		return fmt.Errorf("%q: the host is not an IP address", address)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Errorf("%q: the port is not a number up to 65535", address)
	}
	return nil
}
