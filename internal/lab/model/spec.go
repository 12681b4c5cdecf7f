// Package model simulates one upstream as a queueing model that takes jobs and times and returns finished jobs.
//
// It opens no socket and reads no clock: the caller passes the time, asks for the time of the next event, and calls
// again then. All times are durations since the beginning of a run. A Server is not safe for concurrent use.
package model

import (
	"errors"
	"fmt"
	"time"
)

// Spec describes one upstream. Work is counted in seconds of a core of speed 1.
type Spec struct {
	Cores        int
	Speed        float64 // work that a core does per second; above 0
	SlotsPerCore float64 // jobs that run at once; they share the cores evenly
	QueuePerCore float64 // jobs that may wait for a slot; further jobs are turned away

	// With more than ThrashAt jobs held for each core, capacity falls to 1/(1 + Thrash × excess per core).
	Thrash, ThrashAt float64

	// A server starts with the share ColdFrom of its capacity, which rises linearly to all of it over ColdFor.
	ColdFrom float64
	ColdFor  time.Duration
	// A cold server that is sent more than FallMultiple times its present capacity over FallFor goes down and stays down.
	// 0: it never does.
	FallMultiple float64
	FallFor      time.Duration

	PauseEvery, PauseFor time.Duration // mean time between pauses in which it does no work, and their greatest length

	ErrorShare float64 // share of finished jobs that end as an error

	Choke Choke

	// A job whose key was used here in the last KeyFor needs the share KeyGain less work. The KeysPerCore keys used last,
	// times Cores, are remembered.
	KeyGain     float64
	KeyFor      time.Duration
	KeysPerCore float64

	ConnsPerCore  int           // most open connections; 0: any number
	Handshake     time.Duration // work of opening a connection
	HandshakeRTTs float64       // round trips that a connection's first request waits for
	FullTax       float64       // share of the capacity that a full table of connections takes
	ProbeWork     time.Duration // work of answering one probe
}

// Choke describes how a long queue makes a server slow, and how it recovers.
type Choke struct {
	At     float64       // it chokes above this number of waiting jobs per core; 0: never
	Over   time.Duration // time for which the queue must be so long
	Slower float64       // factor by which a choked server is slower
	Below  float64       // it recovers after its Util was below this share
	Rest   time.Duration // for this time without a break
	Most   time.Duration // longest time choked; 0: no limit
}

// Check returns an error that names the first invalid value.
func (s Spec) Check() error {
	switch {
	case s.Cores < 1:
		return fmt.Errorf("cores: %d is under 1", s.Cores)
	case !(s.Speed > 0):
		return fmt.Errorf("speed: %v is not above 0", s.Speed)
	case !(s.SlotsPerCore > 0):
		return fmt.Errorf("slots per core: %v is not above 0", s.SlotsPerCore)
	case s.ColdFor > 0 && !(s.ColdFrom > 0 && s.ColdFrom <= 1):
		return fmt.Errorf("cold from: %v is not a share above 0", s.ColdFrom)
	case s.ErrorShare < 0 || s.ErrorShare > 1:
		return fmt.Errorf("error share: %v is not a share", s.ErrorShare)
	case s.KeyGain < 0 || s.KeyGain >= 1:
		return fmt.Errorf("key gain: %v is not a share under 1", s.KeyGain)
	case s.Choke.At > 0 && s.Choke.Slower < 1:
		return errors.New("choke: slower is under 1")
	}
	return nil
}

// Capacity returns the work per second of a server that is warm and undisturbed.
func (s Spec) Capacity() float64 { return float64(s.Cores) * s.Speed }

// Job is a piece of work.
type Job struct {
	ID   string
	Key  string        // key of the data that it uses; empty: none
	Work time.Duration // on a core of speed 1
}

// Done is a job that has ended.
type Done struct {
	Job
	At     time.Duration
	Failed bool // it ended as an error
}

// Offer is the outcome of offering a job.
type Offer int

// Outcomes of an offer.
const (
	Taken Offer = iota // it runs or waits
	Full               // turned away: no slot and no place to wait
	Down               // the server has fallen
)

// Report is the load of a server as it reports it itself.
type Report struct {
	Inflight, Queue int
	Latency         time.Duration // moving average of the service time, without waiting
	Util            float64       // moving average of the busy share of the cores
}
