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
	history     = 1 // changed entries that the owner remembers: with the third change the first is forgotten
	maxInFlight = 2 // lines of a watch, and chunks that were given up
)

// oneItem is the bound of chunks here: each is oneItem entry or document.
var oneItem = federation.ChunkLimit{Entries: 1, Bytes: 1}

// sharedList is a list that states may share once it has a key. Each change of such a one goes through a snapshot.
type sharedList struct {
	*list.List
	key []byte
}

func (f *sharedList) change(do func(*list.List)) {
	if f.key != nil {
		*f = sharedList{List: list.Load(f.State(), history)}
	}
	do(f.List)
}

// setKey makes the key.
func (f *sharedList) setKey() {
	if f.key == nil {
		f.key, _ = json.Marshal(f.State()) // of plain words and numbers
	}
}

// ownerView is what the owner's list once told.
type ownerView struct {
	entries   map[string]api.Endpoint
	documents map[string]api.Document
}

// leader is a replica of the follower that takes itself for its leader.
type leader struct {
	leading          bool
	syncState        federation.SyncState
	silent           bool // the owner was, for long
	watching         bool
	source           int
	watchRevision    int64 // what the watch has told up to
	events           []api.WatchEvent
	chunks           []list.Chunk // of the line that was taken last, to be proposed one by one
	snapshot         bool         // it was one
	anomaly          string       // what of it is not taken in
	droppedDocuments []string     // documents, see Faults
}

func (l *leader) endWatch() {
	l.watching, l.events, l.chunks, l.droppedDocuments = false, nil, nil, nil
}

type state struct {
	remaining       Bounds
	faults          Faults
	owner           sharedList
	laggingOwner    sharedList // the owner's replica that lags
	follower        sharedList
	laggingFollower sharedList  // the follower's replica that does
	issuedViews     []ownerView // by the owner's changes
	currentView     ownerView   // what the owner tells
	changeLog       string      // the owner's, in one word each
	restored        bool        // the owner was put back
	leaders         [2]leader
	newestLeader    int // which of them began last
	lateChunks      []list.Chunk
	sidecarDocument api.Document
	violation       string // a promise was broken by the step itself
}

func newState(b Bounds, f Faults) *state {
	s := &state{remaining: b, faults: f}
	for _, l := range []*sharedList{&s.owner, &s.laggingOwner, &s.follower, &s.laggingFollower} {
		*l = sharedList{List: list.New(history)}
	}
	s.follower.change(func(l *list.List) {
		for _, name := range []string{"a", "o"} { // a has a namesake in north
			l.Apply(list.Command{Op: list.Register, Region: south, Name: name, Registration: &api.Registration{Address: "own", Weight: 1}})
		}
		on := int64(0)
		l.Apply(list.Command{Op: list.PutDocument, Region: south, Name: "own", IfRevision: &on, Document: &api.Document{Schema: 1, Settings: json.RawMessage(`{}`)}})
	})
	s.leaders[0].leading = true
	s.changeOwner("+a")
	s.setKeys()
	s.laggingFollower, s.laggingOwner = s.follower, s.owner
	s.changeOwner("+" + service)
	if !b.Empty {
		behind := s.laggingOwner
		s.settle()
		s.setKeys()
		s.remaining, s.laggingOwner, s.laggingFollower = b, behind, s.follower
	}
	s.setKeys()
	return s
}

// Clone implements modelcheck.State.
func (s *state) Clone() *state {
	c := *s
	c.issuedViews, c.lateChunks = slices.Clip(s.issuedViews), slices.Clone(s.lateChunks)
	for i := range c.leaders {
		l := &c.leaders[i]
		l.events = slices.Clone(l.events)
	}
	return &c
}

func (s *state) setKeys() {
	for _, l := range []*sharedList{&s.owner, &s.laggingOwner, &s.follower, &s.laggingFollower} {
		l.setKey()
	}
}

// changeOwner is a change by the owner: + or - and an entry, or a service.
func (s *state) changeOwner(what string) {
	s.changeLog += what + " "
	n := len(s.issuedViews) + 1 // in each text that is issued, so that no two are alike
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
			s.violation = fmt.Sprintf("the owner refuses %s: %v", what, r.Err)
		}
	})
	s.currentView = s.ownerView()
	s.issuedViews = append(s.issuedViews, s.currentView)
}

// ownerView is what the owner's list tells now.
func (s *state) ownerView() ownerView {
	p := ownerView{map[string]api.Endpoint{}, map[string]api.Document{}}
	all := s.owner.OwnChangesSince(-1)
	for _, e := range all.Endpoints {
		p.entries[e.Name] = e
	}
	for _, d := range all.Documents {
		p.documents[d.Service] = d
	}
	return p
}

// nextEvent is the next line of a watch that was told up to from; false: there is nothing to tell.
func (s *state) nextEvent(at int, from int64) (api.WatchEvent, bool) {
	of := s.owner
	if at == 1 {
		of = s.laggingOwner
	}
	if from == of.Revision() {
		return api.WatchEvent{}, false
	}
	l := of.OwnChangesSince(from)
	l.Region = north
	return l, l.Snapshot || len(l.Endpoints) > 0 || len(l.Documents) > 0
}

// startWatch begins a startWatch, with its first line if there is one.
func (s *state) startWatch(who, at int) {
	l := &s.leaders[who]
	l.watching, l.source = true, at
	l.watchRevision = l.syncState.NextRevision(s.follower.Replicated(north).Revision, l.silent)
	l.silent = false
	s.receiveEvent(who)
}

// receiveEvent is one receiveEvent more on a watch.
func (s *state) receiveEvent(who int) {
	l := &s.leaders[who]
	if told, any := s.nextEvent(l.source, l.watchRevision); any {
		l.events, l.watchRevision = append(l.events, told), told.Revision
	}
}

// applyEvent has a leader work out what a line comes to.
func (s *state) applyEvent(who int) {
	l := &s.leaders[who]
	told := l.events[0]
	l.events = l.events[1:]
	replicated := s.follower.Replicated(north)
	if s.faults.NoSeenCheck {
		replicated.SeenRevision = 0
	}
	chunks, anomaly, rejected := oneItem.Chunks(north, replicated, told)
	if rejected != "" {
		l.syncState.Record(told.Snapshot, "", rejected)
		l.endWatch()
		return
	}
	l.chunks, l.snapshot, l.anomaly = chunks, told.Snapshot, anomaly
	if s.faults.DropUnnamed && told.Snapshot {
		for name := range replicated.Documents {
			if !slices.ContainsFunc(told.Documents, func(d api.Document) bool { return d.Service == name }) {
				l.droppedDocuments = append(l.droppedDocuments, name)
			}
		}
	}
	s.recordIfApplied(who)
}

// recordIfApplied notes that a line was taken in, once nothing of it is left.
func (s *state) recordIfApplied(who int) {
	if l := &s.leaders[who]; len(l.chunks) == 0 {
		l.syncState.Record(l.snapshot, l.anomaly, "")
		l.anomaly, l.droppedDocuments = "", nil
	}
}

// commitChunk is a chunk that is committed.
func (s *state) commitChunk(p list.Chunk, forgets []string) (err *api.Error) {
	s.follower.change(func(l *list.List) {
		if s.faults.NoFromCheck {
			p.From = l.Replicated(north).Revision
		}
		if s.faults.NoPartCheck {
			p.Part = l.Replicated(north).NextPart
		}
		if s.faults.NoSeenCheck || p.Last && len(forgets) > 0 {
			of := l.State()
			for i := range of.Regions {
				o := &of.Regions[i]
				if s.faults.NoSeenCheck {
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
	if err := s.commitChunk(p, l.droppedDocuments); err != nil {
		s.failProposal(who)
		return
	}
	s.recordIfApplied(who)
}

// failProposal is a chunk of which a leader does not hear that it was carried out.
func (s *state) failProposal(who int) {
	l := &s.leaders[who]
	l.syncState.Record(l.snapshot, "", "unanswered")
	l.endWatch()
}

// startLeader has a replica of the follower begin to startLeader.
func (s *state) startLeader(who int) {
	s.leaders[who] = leader{leading: true}
	s.newestLeader = who
}

// elect is lead for one that did not lead. With a barrier, as in the program, all that is in the log was carried out by then and
// the rest never is: what was given up, whose leader leads no more, and whatever the former leader still proposes.
func (s *state) elect(who int) {
	if s.remaining.Barrier {
		s.lateChunks, s.leaders[1-who] = nil, leader{}
	}
	s.startLeader(who)
}

// readSettings has the sidecar readSettings at a replica of the follower.
func (s *state) readSettings(at sharedList) {
	if d, found := at.Document(service); found && (d.Revision >= s.sidecarDocument.Revision || s.faults.AcceptOlder) {
		s.sidecarDocument = d
	}
}

// Hash is one of the key; two keys with the same one are taken for the same state, by a chance of 1 in 2^128 for a pair.
func (s *state) Hash() (h modelcheck.Hash) {
	s.setKeys()
	sum := sha256.New()
	l := s.remaining
	_, _ = fmt.Fprint(sum, l.Changes, l.Losses, l.LateChunks, l.Duplicates, l.Elections, l.Restarts, l.Restores, l.Reads, s.changeLog, s.restored, s.newestLeader, s.sidecarDocument.Revision, string(s.sidecarDocument.Settings))
	for _, l := range []sharedList{s.owner, s.laggingOwner, s.follower, s.laggingFollower} {
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
		_, _ = fmt.Fprint(sum, "|L", l.leading, l.syncState, l.silent, l.watching, l.source, l.watchRevision, l.snapshot, l.anomaly, l.droppedDocuments)
		for _, x := range l.events {
			keyOf(list.Chunk{From: int64(len(x.Endpoints)), To: x.Revision, Last: x.Snapshot, Entries: x.Endpoints, Documents: x.Documents})
		}
		for _, p := range l.chunks {
			keyOf(p)
		}
	}
	for _, p := range s.lateChunks {
		keyOf(p)
	}
	copy(h[:], sum.Sum(nil))
	return h
}
