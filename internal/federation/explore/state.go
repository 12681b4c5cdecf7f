package explore

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"

	"mosslead/internal/federation"
	"mosslead/internal/modelcheck"
	"mosslead/internal/registry/api"
	"mosslead/internal/registry/list"
)

const (
	history  = 1 // changed entries that the owner remembers: with the third change the first is forgotten
	underWay = 2 // lines of a watch, and chunks that were given up
)

// one is the bound of chunks here: each is one entry or document.
var one = federation.ChunkLimit{Entries: 1, Bytes: 1}

// frozen is a list that states may share once it has a key. Each change of such a one goes through a snapshot.
type frozen struct {
	*list.List
	key []byte
}

func (f *frozen) change(do func(*list.List)) {
	if f.key != nil {
		*f = frozen{List: list.Load(f.State(), history)}
	}
	do(f.List)
}

// freeze makes the key.
func (f *frozen) freeze() {
	if f.key == nil {
		f.key, _ = json.Marshal(f.State()) // of plain words and numbers
	}
}

// past is what the owner's list once told.
type past struct {
	entries   map[string]api.Endpoint
	documents map[string]api.Document
}

// leader is a replica of the follower that takes itself for its leader.
type leader struct {
	leads    bool
	sync     federation.SyncState
	unheard  bool // the owner was, for long
	watches  bool
	source   int
	at       int64 // what the watch has told up to
	lines    []api.WatchEvent
	chunks   []list.Chunk // of the line that was taken last, to be proposed one by one
	snapshot bool         // it was one
	anomaly  string       // what of it is not taken in
	forgets  []string     // documents, see Faults
}

func (l *leader) drop() { l.watches, l.lines, l.chunks, l.forgets = false, nil, nil, nil }

type state struct {
	left     Bounds
	faults   Faults
	owner    frozen
	behind   frozen // the owner's replica that lags
	follower frozen
	lags     frozen // the follower's replica that does
	issued   []past // by the owner's changes
	now      past   // what the owner tells
	changes  string // the owner's, in one word each
	back     bool   // the owner was put back
	leaders  [2]leader
	newest   int // which of them began last
	late     []list.Chunk
	sidecar  api.Document
	why      string // a promise was broken by the step itself
}

func begin(b Bounds, f Faults) *state {
	s := &state{left: b, faults: f}
	for _, l := range []*frozen{&s.owner, &s.behind, &s.follower, &s.lags} {
		*l = frozen{List: list.New(history)}
	}
	s.follower.change(func(l *list.List) {
		for _, name := range []string{"a", "o"} { // a has a namesake in north
			l.Apply(list.Command{Op: list.Register, Region: south, Name: name, Registration: &api.Registration{Address: "own", Weight: 1}})
		}
		on := int64(0)
		l.Apply(list.Command{Op: list.PutDocument, Region: south, Name: "own", IfRevision: &on, Document: &api.Document{Schema: 1, Settings: json.RawMessage(`{}`)}})
	})
	s.leaders[0].leads = true
	s.issue("+a")
	s.freeze()
	s.lags, s.behind = s.follower, s.owner
	s.issue("+" + service)
	if !b.Empty {
		behind := s.behind
		s.settle()
		s.freeze()
		s.left, s.behind, s.lags = b, behind, s.follower
	}
	s.freeze()
	return s
}

// Clone implements modelcheck.State.
func (s *state) Clone() *state {
	c := *s
	c.issued, c.late = slices.Clip(s.issued), slices.Clone(s.late)
	for i := range c.leaders {
		l := &c.leaders[i]
		l.lines = slices.Clone(l.lines)
	}
	return &c
}

func (s *state) freeze() {
	for _, l := range []*frozen{&s.owner, &s.behind, &s.follower, &s.lags} {
		l.freeze()
	}
}

// issue is a change by the owner: + or - and an entry, or a service.
func (s *state) issue(what string) {
	s.changes += what + " "
	n := len(s.issued) + 1 // in each text that is issued, so that no two are alike
	c := list.Command{Region: north, Name: what[1:]}
	s.owner.change(func(l *list.List) {
		switch {
		case c.Name == service:
			d, _ := l.Document(service)
			c.Op, c.IfRevision = list.DeleteDocument, &d.Revision
			if what[0] == '+' {
				c.Op, c.Document = list.PutDocument, &api.Document{Schema: 1, Settings: json.RawMessage(strconv.Itoa(n))}
			}
		case what[0] == '+':
			c.Op, c.Registration = list.Register, &api.Registration{Address: strconv.Itoa(n), Weight: 1}
		default:
			c.Op = list.Deregister
		}
		if r := l.Apply(c); r.Err != nil {
			s.why = fmt.Sprintf("the owner refuses %s: %v", what, r.Err)
		}
	})
	s.now = s.told()
	s.issued = append(s.issued, s.now)
}

// told is what the owner's list tells now.
func (s *state) told() past {
	p := past{map[string]api.Endpoint{}, map[string]api.Document{}}
	all := s.owner.OwnChangesSince(-1)
	for _, e := range all.Endpoints {
		p.entries[e.Name] = e
	}
	for _, d := range all.Documents {
		p.documents[d.Service] = d
	}
	return p
}

// tells is the next line of a watch that was told up to from; false: there is nothing to tell.
func (s *state) tells(at int, from int64) (api.WatchEvent, bool) {
	of := s.owner
	if at == 1 {
		of = s.behind
	}
	if from == of.Revision() {
		return api.WatchEvent{}, false
	}
	l := of.OwnChangesSince(from)
	l.Region = north
	return l, l.Snapshot || len(l.Endpoints) > 0 || len(l.Documents) > 0
}

// watch begins a watch, with its first line if there is one.
func (s *state) watch(who, at int) {
	l := &s.leaders[who]
	l.watches, l.source = true, at
	l.at = l.sync.NextRevision(s.follower.Replicated(north).Revision, l.unheard)
	l.unheard = false
	s.line(who)
}

// line is one line more on a watch.
func (s *state) line(who int) {
	l := &s.leaders[who]
	if told, any := s.tells(l.source, l.at); any {
		l.lines, l.at = append(l.lines, told), told.Revision
	}
}

// applyChunk has a leader work out what a line comes to.
func (s *state) applyChunk(who int) {
	l := &s.leaders[who]
	told := l.lines[0]
	l.lines = l.lines[1:]
	replicated := s.follower.Replicated(north)
	if s.faults.NoSeen {
		replicated.SeenRevision = 0
	}
	chunks, anomaly, rejected := one.Chunks(north, replicated, told)
	if rejected != "" {
		l.sync.Record(told.Snapshot, "", rejected)
		l.drop()
		return
	}
	l.chunks, l.snapshot, l.anomaly = chunks, told.Snapshot, anomaly
	if s.faults.Forgets && told.Snapshot {
		for name := range replicated.Documents {
			if !slices.ContainsFunc(told.Documents, func(d api.Document) bool { return d.Service == name }) {
				l.forgets = append(l.forgets, name)
			}
		}
	}
	s.chunkApplied(who)
}

// chunkApplied notes that a line was taken in, once nothing of it is left.
func (s *state) chunkApplied(who int) {
	if l := &s.leaders[who]; len(l.chunks) == 0 {
		l.sync.Record(l.snapshot, l.anomaly, "")
		l.anomaly, l.forgets = "", nil
	}
}

// carryOut is a chunk that is committed.
func (s *state) carryOut(p list.Chunk, forgets []string) (err *api.Error) {
	s.follower.change(func(l *list.List) {
		if s.faults.NoFrom {
			p.From = l.Replicated(north).Revision
		}
		if s.faults.NoTurns {
			p.Part = l.Replicated(north).NextPart
		}
		if s.faults.NoSeen || p.Last && len(forgets) > 0 {
			of := l.State()
			for i := range of.Regions {
				o := &of.Regions[i]
				if s.faults.NoSeen {
					o.SeenRevision = min(o.SeenRevision, p.To)
				}
				o.Documents = slices.DeleteFunc(o.Documents, func(d api.Document) bool { return p.Last && slices.Contains(forgets, d.Service) })
			}
			*l = *list.Load(of, history)
		}
		err = l.Apply(list.Command{Op: list.ReplicateRegion, Region: south, Chunk: &p}).Err
	})
	return err
}

// propose is a leader's next chunk, which is carried out and answered.
func (s *state) propose(who int) {
	l := &s.leaders[who]
	p := l.chunks[0]
	l.chunks = l.chunks[1:]
	if err := s.carryOut(p, l.forgets); err != nil {
		s.unanswered(who)
		return
	}
	s.chunkApplied(who)
}

// unanswered is a chunk of which a leader does not hear that it was carried out.
func (s *state) unanswered(who int) {
	l := &s.leaders[who]
	l.sync.Record(l.snapshot, "", "unanswered")
	l.drop()
}

// lead has a replica of the follower begin to lead.
func (s *state) lead(who int) {
	s.leaders[who] = leader{leads: true}
	s.newest = who
}

// begins is lead for one that did not lead. With a barrier, as in the program, all that is in the log was carried out by then and
// the rest never is: what was given up, whose leader leads no more, and whatever the former leader still proposes.
func (s *state) begins(who int) {
	if s.left.Barrier {
		s.late, s.leaders[1-who] = nil, leader{}
	}
	s.lead(who)
}

// read has the sidecar read at a replica of the follower.
func (s *state) read(at frozen) {
	if d, found := at.Document(service); found && (d.Revision >= s.sidecar.Revision || s.faults.NoHighest) {
		s.sidecar = d
	}
}

// Hash is one of the key; two keys with the same one are taken for the same state, by a chance of 1 in 2^128 for a pair.
func (s *state) Hash() (h modelcheck.Hash) {
	s.freeze()
	sum := sha256.New()
	l := s.left
	_, _ = fmt.Fprint(sum, l.Changes, l.Losses, l.Lates, l.Repeats, l.Elections, l.Starts, l.Backs, l.Reads, s.changes, s.back, s.newest, s.sidecar.Revision, string(s.sidecar.Settings))
	for _, l := range []frozen{s.owner, s.behind, s.follower, s.lags} {
		sum.Write(l.key)
	}
	keyOf := func(p list.Chunk) {
		_, _ = fmt.Fprint(sum, "|", p.From, p.To, p.Part, p.Last)
		for _, e := range p.Entries {
			_, _ = fmt.Fprint(sum, e.Name, e.Address, e.Status)
		}
		for _, d := range p.Documents {
			_, _ = fmt.Fprint(sum, d.Service, d.Revision, string(d.Settings))
		}
	}
	for i := range s.leaders {
		l := &s.leaders[i]
		_, _ = fmt.Fprint(sum, "|L", l.leads, l.sync, l.unheard, l.watches, l.source, l.at, l.snapshot, l.anomaly, l.forgets)
		for _, x := range l.lines {
			keyOf(list.Chunk{From: int64(len(x.Endpoints)), To: x.Revision, Last: x.Snapshot, Entries: x.Endpoints, Documents: x.Documents})
		}
		for _, p := range l.chunks {
			keyOf(p)
		}
	}
	for _, p := range s.late {
		keyOf(p)
	}
	copy(h[:], sum.Sum(nil))
	return h
}
