package scale

// order is a line from the run to a host of hollow sidecars.
type order struct {
	Do    string   `json:"do"` // add, register, watch, end, silence, speak, break, count
	Add   []hollow `json:"add,omitempty"`
	Of    []int    `json:"of,omitempty"`
	Bear  int64    `json:"bear,omitempty"` // register: the incarnation
	Count int      `json:"count,omitempty"`
}

// The orders.
const (
	doAdd      = "add"      // hollow ones that are to be, nothing runs yet
	doRegister = "register" // their upstreams, with a new incarnation
	doWatch    = "watch"    // starts the sidecars
	doEnd      = "end"      // ends sidecars, and what renews their upstreams' leases, without a word
	doSilence  = "silence"  // of the upstreams alone
	doBreak    = "break"    // all connections of them; nobody named: of all
	doCount    = "count"
)

// hollow is a sidecar that is to be, with its upstream.
type hollow struct {
	Number   int      `json:"i"` // among the processes of the run
	Name     string   `json:"name"`
	Zone     string   `json:"zone"`
	Upstream string   `json:"upstream"` // its address
	Service  string   `json:"service"`
	Fleet    int      `json:"fleet"`
	Replicas []string `json:"replicas"`
	LeaseMs  int64    `json:"lease_ms"`
	Along    bool     `json:"along,omitempty"`  // its messages are counted
	Renews   bool     `json:"renews,omitempty"` // it is a real one's upstream: it is registered from here as hollow ones' are, through the real one's gates
	Mute     bool     `json:"mute,omitempty"`   // a planted fault: its renewals are left out
}

// word is a line from a host to the run.
type word struct {
	Ready  bool    `json:"ready,omitempty"` // the host stands
	Told   *told   `json:"told,omitempty"`
	Number int     `json:"i,omitempty"`
	Up     int64   `json:"up,omitempty"`   // Number's life began
	Down   int64   `json:"down,omitempty"` // Number's life ended
	Counts *counts `json:"counts,omitempty"`
	Failed string  `json:"failed,omitempty"`
}

// told is a message, and who took it in when: pairs of a number and a time.
type told struct {
	Index   int64   `json:"x"`
	Whole   bool    `json:"w,omitempty"`
	InForce bool    `json:"f,omitempty"`
	Entries []Seen  `json:"e"`
	By      []int64 `json:"by"`
}

// counts are those of all hollow ones of a host: five numbers each, its own and what Counts holds.
type counts struct {
	Count int     `json:"count"`
	At    int64   `json:"at"` // the machine's clock
	Of    []int64 `json:"of"`
}
