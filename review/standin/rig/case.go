package rig

import (
	"fmt"
	"net"
	"os"
	"runtime"
)

// Case is what every case starts with: a record, a temporary folder, upstreams, the discovery agent and one sidecar.
type Case struct {
	Rec      *Record
	Root     string // root of the project
	Settings *Settings
	Trouble  bool // the disruption is on
	Tmp      string

	Upstreams []*Upstream
	Entries   []Entry
	Agent     *Agent
	Sidecar   *Sidecar
}

// Main runs a case: its arguments are the project's root and the folder of the case. It exits with the code that play returns: 1 if the rule was
// broken, 0 if it held; and with 2 if the case could not run.
func Main(play func(*Case) (int, error)) {
	runtime.LockOSThread() // the sidecar is killed when the thread that started it ends, so that none outlives the case
	os.Exit(run(play))
}

func run(play func(*Case) (int, error)) int {
	if len(os.Args) != 3 {
		fmt.Println("usage: CASE ROOT FOLDER")
		return 2
	}
	rec, err := NewRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer rec.Close()
	tmp, err := os.MkdirTemp("", "review-")
	if err != nil {
		rec.Say("the case could not run: %v", err)
		return 2
	}
	defer func() { _ = os.RemoveAll(tmp) }()
	settings, err := ReadSettings(os.Args[2])
	if err != nil {
		rec.Say("the case could not run: %v", err)
		return 2
	}
	c := &Case{Rec: rec, Root: os.Args[1], Settings: settings, Trouble: os.Getenv("TROUBLE") != "0", Tmp: tmp}
	defer c.close()
	rec.Log("disruption: %v", c.Trouble)
	code, err := play(c)
	if err != nil {
		rec.Say("the case could not run: %v", err)
		return 2
	}
	return code
}

func (c *Case) close() {
	if c.Sidecar != nil {
		c.Sidecar.Kill()
		c.Sidecar.CopyLog()
	}
	if c.Agent != nil {
		c.Agent.Close()
	}
	for _, u := range c.Upstreams {
		u.Close()
	}
}

// StartUpstreams starts n upstreams that are spread over the zones, and the agent that lists them.
func (c *Case) StartUpstreams(n int, onArrival func(*Arrival), serve func(net.Conn, *Arrival) bool) error {
	zones := c.Settings.Zones
	for i := range n {
		name := fmt.Sprintf("s-%08x", 0x5be2a000+i*977)
		u, err := NewUpstream(c.Rec, name, onArrival, serve)
		if err != nil {
			return err
		}
		c.Upstreams = append(c.Upstreams, u)
		c.Entries = append(c.Entries, Entry{Name: name, Address: u.Address, Zone: zones[i%len(zones)], Type: c.Settings.Kind, Group: 1 + i%len(zones), Status: "Ready", Weight: 1})
	}
	agent, err := NewAgent(c.Rec, c.Entries)
	c.Agent = agent
	return err
}

// StartSidecar starts the sidecar with the limits, and waits until it is ready.
func (c *Case) StartSidecar(limits M) error {
	config := M{"name": "n1", "discovery": c.Agent.Address, "seed": ID(), "limits": limits, "known": c.Agent.Known(), "settings": c.Settings.Raw}
	s, err := NewSidecar(c.Rec, c.Tmp, config)
	if err != nil {
		return err
	}
	c.Sidecar = s
	return s.Start(c.Root)
}
