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
	history     = 1 // length of the owner's change history: the third change compacts the first away
	maxInFlight = 2 // limit of the unapplied events of a watch, and of the abandoned chunks
)

// oneItem bounds chunks to one entry or document.
var oneItem = federation.ChunkLimit{Entries: 1, Bytes: 1}

// sharedList is a list that states share once its key is set. From then on a change is made to a copy.
type sharedList struct {
	*list.List
	key []byte
}

// change applies do to the list, or to a copy if the list is shared.
func (l *sharedList) change(do func(*list.List)) {
	if l.key != nil {
		*l = sharedList{List: list.Load(l.State(), history)}
	}
	do(l.List)
}

// setKey sets the key, which makes the list shared.
func (l *sharedList) setKey() {
	if l.key == nil {
		l.key, _ = json.Marshal(l.State()) // strings and numbers only, so it cannot fail
	}
}

// ownerView is the content of the owner's list at one time.
type ownerView struct {
	entries   map[string]api.Endpoint
	documents map[string]api.Document
}

// leader is a replica of the follower that may act as its leader.
type leader struct {
	leading          bool // it acts as the leader
	syncState        federation.SyncState
	silent           bool // the owner was silent for long, and may have been restored
	watching         bool
	source           int              // index of the owner's replica that it watches, see sourceName
	watchRevision    int64            // revision of the latest event
	events           []api.WatchEvent // received and not applied yet
	chunks           []list.Chunk     // of the event applied last, to be proposed one by one
	snapshot         bool             // the event applied last is a snapshot
	anomaly          string           // what the chunks leave out of that event
	droppedDocuments []string         // services whose documents the last chunk removes, see Faults.DropUnnamed
}

// endWatch drops the watch with its events and chunks.
func (l *leader) endWatch() {
	l.watching, l.events, l.chunks, l.droppedDocuments = false, nil, nil, nil
}

// state is a state of the model.
type state struct {
	remaining       Bounds // steps that may still occur
	faults          Faults
	owner           sharedList
	laggingOwner    sharedList // the owner's lagging replica
	follower        sharedList
	laggingFollower sharedList  // the follower's lagging replica
	issuedViews     []ownerView // the owner's list after each of its changes
	currentView     ownerView   // the owner's list now
	changeLog       string      // the changes by the owner, each followed by a space
	restored        bool        // the owner was restored
	leaders         [2]leader
	newestLeader    int          // index of the leader that started last
	lateChunks      []list.Chunk // chunks that may be committed later
	sidecarDocument api.Document // the settings that the sidecar has
	violation       string       // the invariant that the step itself broke; empty if none
}

// newState returns the first state of an exploration.
func newState(b Bounds, f Faults) *state {
	s := &state{remaining: b, faults: f}
	for _, l := range []*sharedList{&s.owner, &s.laggingOwner, &s.follower, &s.laggingFollower} {
		*l = sharedList{List: list.New(history)}
	}
	s.follower.change(func(l *list.List) {
		for _, name := range []string{"a", "o"} { // north also has an entry a
			l.Apply(list.Command{Op: list.Register, Region: south, Name: name, Registration: &api.Registration{Address: "own", Weight: 1}})
		}
		revision := int64(0)
		l.Apply(list.Command{Op: list.PutDocument, Region: south, Name: "own", IfRevision: &revision, Document: &api.Document{Schema: 1, Settings: json.RawMessage(`{}`)}})
	})
	s.leaders[0].leading = true
	s.changeOwner("+a")
	s.setKeys()
	s.laggingFollower, s.laggingOwner = s.follower, s.owner
	s.changeOwner("+" + service)
	if !b.Empty {
		lagging := s.laggingOwner
		s.settle()
		s.setKeys()
		s.remaining, s.laggingOwner, s.laggingFollower = b, lagging, s.follower
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

// setKeys sets the keys of all lists.
func (s *state) setKeys() {
	for _, l := range []*sharedList{&s.owner, &s.laggingOwner, &s.follower, &s.laggingFollower} {
		l.setKey()
	}
}

// changeOwner applies a change by the owner. change is + or -, followed by the name of an entry or the service.
func (s *state) changeOwner(change string) {
	s.changeLog += change + " "
	n := len(s.issuedViews) + 1 // part of each address and settings, so that all differ
	c := list.Command{Region: north, Name: change[1:]}
	s.owner.change(func(l *list.List) {
		switch {
		case c.Name == service:
			d, _ := l.Document(service)
			c.Op, c.IfRevision = list.DeleteDocument, &d.Revision
			if change[0] == '+' {
				c.Op, c.Document = list.PutDocument, &api.Document{Schema: 1, Settings: json.RawMessage(strconv.Itoa(n))}
			}
		case change[0] == '+':
			c.Op, c.Registration = list.Register, &api.Registration{Address: strconv.Itoa(n), Weight: 1}
		default:
			c.Op = list.Deregister
		}
		if r := l.Apply(c); r.Err != nil {
			s.violation = fmt.Sprintf("the owner rejects %s: %v", change, r.Err)
		}
	})
	s.currentView = s.ownerView()
	s.issuedViews = append(s.issuedViews, s.currentView)
}

// ownerView returns the content of the owner's list now.
func (s *state) ownerView() ownerView {
	view := ownerView{map[string]api.Endpoint{}, map[string]api.Document{}}
	changes := s.owner.OwnChangesSince(-1)
	for _, e := range changes.Endpoints {
		view.entries[e.Name] = e
	}
	for _, d := range changes.Documents {
		view.documents[d.Service] = d
	}
	return view
}

// nextEvent returns the next event of a watch at a source, after revision from. ok is false if there is none.
func (s *state) nextEvent(source int, from int64) (api.WatchEvent, bool) {
	owner := s.owner
	if source == 1 {
		owner = s.laggingOwner
	}
	if from == owner.Revision() {
		return api.WatchEvent{}, false
	}
	event := owner.OwnChangesSince(from)
	event.Region = north
	return event, event.Snapshot || len(event.Endpoints) > 0 || len(event.Documents) > 0
}

// startWatch starts a leader's watch, with the first event if there is one.
func (s *state) startWatch(i, source int) {
	l := &s.leaders[i]
	l.watching, l.source = true, source
	l.watchRevision = l.syncState.NextRevision(s.follower.Replicated(north).Revision, l.silent)
	l.silent = false
	s.receiveEvent(i)
}

// receiveEvent adds the next event to a leader's watch, if there is one.
func (s *state) receiveEvent(i int) {
	l := &s.leaders[i]
	if event, ok := s.nextEvent(l.source, l.watchRevision); ok {
		l.events, l.watchRevision = append(l.events, event), event.Revision
	}
}

// applyEvent has a leader turn its next event into chunks.
func (s *state) applyEvent(i int) {
	l := &s.leaders[i]
	event := l.events[0]
	l.events = l.events[1:]
	replicated := s.follower.Replicated(north)
	if s.faults.NoSeenCheck {
		replicated.SeenRevision = 0
	}
	chunks, anomaly, rejected := oneItem.Chunks(north, replicated, event)
	if rejected != "" {
		l.syncState.Record(event.Snapshot, "", rejected)
		l.endWatch()
		return
	}
	l.chunks, l.snapshot, l.anomaly = chunks, event.Snapshot, anomaly
	if s.faults.DropUnnamed && event.Snapshot {
		for name := range replicated.Documents {
			if !slices.ContainsFunc(event.Documents, func(d api.Document) bool { return d.Service == name }) {
				l.droppedDocuments = append(l.droppedDocuments, name)
			}
		}
	}
	s.recordIfApplied(i)
}

// recordIfApplied records the event in the sync state once all its chunks are committed.
func (s *state) recordIfApplied(i int) {
	if l := &s.leaders[i]; len(l.chunks) == 0 {
		l.syncState.Record(l.snapshot, l.anomaly, "")
		l.anomaly, l.droppedDocuments = "", nil
	}
}

// commitChunk applies a chunk to the follower's list, with the faults of the log.
func (s *state) commitChunk(chunk list.Chunk, dropped []string) (err *api.Error) {
	s.follower.change(func(l *list.List) {
		if s.faults.NoFromCheck {
			chunk.From = l.Replicated(north).Revision
		}
		if s.faults.NoPartCheck {
			chunk.Part = l.Replicated(north).NextPart
		}
		if s.faults.NoSeenCheck || chunk.Last && len(dropped) > 0 {
			snapshot := l.State()
			for i := range snapshot.Regions {
				region := &snapshot.Regions[i]
				if s.faults.NoSeenCheck {
					region.SeenRevision = min(region.SeenRevision, chunk.To)
				}
				region.Documents = slices.DeleteFunc(region.Documents, func(d api.Document) bool { return chunk.Last && slices.Contains(dropped, d.Service) })
			}
			*l = *list.Load(snapshot, history)
		}
		err = l.Apply(list.Command{Op: list.ReplicateRegion, Region: south, Chunk: &chunk}).Err
	})
	return err
}

// propose commits a leader's next chunk, and gives the leader the result.
func (s *state) propose(i int) {
	l := &s.leaders[i]
	chunk := l.chunks[0]
	l.chunks = l.chunks[1:]
	if err := s.commitChunk(chunk, l.droppedDocuments); err != nil {
		s.failProposal(i)
		return
	}
	s.recordIfApplied(i)
}

// failProposal ends a leader's watch because it gets no result for a chunk.
func (s *state) failProposal(i int) {
	l := &s.leaders[i]
	l.syncState.Record(l.snapshot, "", "unanswered")
	l.endWatch()
}

// startLeader makes a replica of the follower a leader.
func (s *state) startLeader(i int) {
	s.leaders[i] = leader{leading: true}
	s.newestLeader = i
}

// elect starts a new leader. With a barrier, as in the program, every earlier entry of the log has been committed or never will be:
// abandoned chunks are dropped, and the former leader stops.
func (s *state) elect(i int) {
	if s.remaining.Barrier {
		s.lateChunks, s.leaders[1-i] = nil, leader{}
	}
	s.startLeader(i)
}

// readSettings has the sidecar read its settings at a replica of the follower.
func (s *state) readSettings(replica sharedList) {
	if d, found := replica.Document(service); found && (d.Revision >= s.sidecarDocument.Revision || s.faults.AcceptOlder) {
		s.sidecarDocument = d
	}
}

// Hash returns a hash of the state. States with equal hashes are taken for the same; the chance of a collision is 1 in 2^128 for a pair.
func (s *state) Hash() (h modelcheck.Hash) {
	s.setKeys()
	sum := sha256.New()
	l := s.remaining
	_, _ = fmt.Fprint(sum, l.Changes, l.Losses, l.LateChunks, l.Duplicates, l.Elections, l.Restarts, l.Restores, l.Reads, s.changeLog, s.restored, s.newestLeader, s.sidecarDocument.Revision, string(s.sidecarDocument.Settings))
	for _, l := range []sharedList{s.owner, s.laggingOwner, s.follower, s.laggingFollower} {
		sum.Write(l.key)
	}
	addChunk := func(chunk list.Chunk) {
		_, _ = fmt.Fprint(sum, "|", chunk.From, chunk.To, chunk.Part, chunk.Last)
		for _, e := range chunk.Entries {
			_, _ = fmt.Fprint(sum, e.Name, e.Address, e.Status)
		}
		for _, d := range chunk.Documents {
			_, _ = fmt.Fprint(sum, d.Service, d.Revision, string(d.Settings))
		}
	}
	for i := range s.leaders {
		l := &s.leaders[i]
		_, _ = fmt.Fprint(sum, "|L", l.leading, l.syncState, l.silent, l.watching, l.source, l.watchRevision, l.snapshot, l.anomaly, l.droppedDocuments)
		for _, event := range l.events {
			addChunk(list.Chunk{From: int64(len(event.Endpoints)), To: event.Revision, Last: event.Snapshot, Entries: event.Endpoints, Documents: event.Documents})
		}
		for _, chunk := range l.chunks {
			addChunk(chunk)
		}
	}
	for _, chunk := range s.lateChunks {
		addChunk(chunk)
	}
	copy(h[:], sum.Sum(nil))
	return h
}
