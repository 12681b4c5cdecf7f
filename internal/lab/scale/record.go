package scale

import "sync"

// Change is something that was issued, and what the service made of it. Times are of the machine's monotonic clock, in ns.
type Change struct {
	Name   string // the entry's
	Status string // that it has once this is in force
	Cause  string // under which its delay is counted
	Region string // that accepted it

	// Service is whose settings this is of; empty: it is of an entry, and for everybody. Name and Status are made by the run then.
	Service string

	// Lo and Hi bound the region's list version that holds it: the same where the service said which, 0 where nothing is known.
	Lo, Hi int64

	Issued   int64 // it can be seen from here on
	Accepted int64 // the service said so, or was first seen to act so; 0: it did not
}

// Seen is an entry as a process was told of it.
type Seen struct {
	Name   string `json:"n"`
	Status string `json:"s"`
}

// Message is what one line of a watch told. Those who were told the same may share it.
type Message struct {
	Index   int64
	Whole   bool // what is not named is gone
	InForce bool // no list, but settings that are in force now; Index says nothing
	Entries []Seen
}

// Sight is a message taken in by a process.
type Sight struct {
	At int64
	*Message
}

// Span is a time from From on to To; To 0: it lasts.
type Span struct{ From, To int64 }

// Process is one that follows the list.
type Process struct {
	Name    string
	Region  string
	Kind    string // hollow, real or witness
	Service string // whose settings it follows; empty: none
	Lives   []Span
	Sights  []Sight // by time, as its one reporter saw them
	Control Control // over the day
}

// Control is what a process spent on control.
type Control struct {
	Measured        bool // it ran for the whole day
	Squeezed        bool // its bytes are told and not judged
	Bytes           float64
	CPU             float64 // of a core
	MemoryMB        float64
	Costless        bool // CPU and MemoryMB are told and not judged: they are not for control alone
	UpBytes         int64
	DownBytes       int64
	UpMsgs          int64
	DownMsgs        int64
	Seconds         float64
	messagesCounted bool
}

// Record is what was issued and seen on one day.
type Record struct {
	mu        sync.Mutex
	Changes   []*Change // in the order in which they were issued
	Processes []*Process
	Cuts      []Span // while these last, a region hears nothing of the others
	End       int64
}

func (r *Record) issue(c *Change) *Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Changes = append(r.Changes, c)
	return c
}
