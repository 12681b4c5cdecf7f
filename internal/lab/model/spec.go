// Package model owns the behaviour of one upstream as a queueing model: jobs and times in, finished jobs out.
//
// It opens no socket and reads no clock: the caller says what time it is, asks when something will happen next, and
// calls again then. All times are durations since the beginning of a play. A Server is not safe for concurrent use.
package model

import (
	"errors"
	"fmt"
	"time"
)

// Spec says what one upstream is like. Work is counted in seconds of a core of speed 1.
type Spec struct {
	Cores        int
	Speed        float64 // work that a core does in a second; above 0
	SlotsPerCore float64 // jobs in work at once; they share the cores evenly
	QueuePerCore float64 // jobs that wait for a slot; beyond, a job is turned away unseen

	// With more than ThrashAt jobs held for each core, capacity falls to 1/(1 + Thrash × excess per core).
	Thrash, ThrashAt float64

	// A server that starts has ColdFrom of its capacity, which rises evenly to all of it over ColdFor.
	ColdFrom float64
	ColdFor  time.Duration
	// Sent more than FallMultiple times its present capacity over FallFor while cold, it falls over and stays down.
	// 0: it bears everything.
	FallMultiple float64
	FallFor      time.Duration

	PauseEvery, PauseFor time.Duration // it stands still now and then: mean time between, greatest length

	ErrorShare float64 // of finished jobs that end as an error

	Choke Choke

	// A job whose key was met here in the last KeyFor does KeyGain less work; the KeysPerCore latest are remembered.
	KeyGain     float64
	KeyFor      time.Duration
	KeysPerCore float64

	ConnsPerCore  int           // connections held at most; 0: any number
	Handshake     time.Duration // work of opening one
	HandshakeRTTs float64       // round trips that its first request waits for
	FullTax       float64       // share of the capacity that a full table of connections takes
	ProbeWork     time.Duration // work of answering one probe
}

// Choke is how a crowd turns a server slow, and how it recovers.
type Choke struct {
	At     float64       // jobs waiting for each core; 0: it never chokes
	Over   time.Duration // for so long
	Slower float64       // then it is so many times slower
	Below  float64       // until less than this share of its cores was busy
	Rest   time.Duration // for so long
	Most   time.Duration // or, at the latest, after this
}

// Check names the first value that makes no server.
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

// Capacity is the work that it does in a second when warm and undisturbed.
func (s Spec) Capacity() float64 { return float64(s.Cores) * s.Speed }

// Job is a piece of work.
type Job struct {
	ID   string
	Key  string        // what it concerns; empty: nothing
	Work time.Duration // on a core of speed 1
}

// Done is a job that has ended.
type Done struct {
	Job
	At     time.Duration
	Failed bool // it ended as an error
}

// Offer is what became of a job that arrived.
type Offer int

// What can become of it.
const (
	Taken Offer = iota
	Full        // turned away: no slot and no place to wait
	Down        // the server has fallen over
)

// Report is a server's own word on its load.
type Report struct {
	Inflight, Queue int
	Latency         time.Duration // service time of late, without waiting
	Util            float64       // of the cores, of late
}
