package sidecar

import (
	"fmt"
	"log/slog"
	"maps"
	"strings"
	"sync"

	"mosslead/internal/registry/api"
	"mosslead/internal/registry/client"
	"mosslead/internal/settings"
	"mosslead/internal/statestore"
)

const maxRegions = 64 // whose versions are remembered; a fleet has four

// settingsFollower follows the settings of the sidecar's service, which the list service sends with the list.
// The watch receives documents; the process applies the newest, completely or not at all, on top of its file.
// A nil one follows none.
type settingsFollower struct {
	name, node string
	received   chan struct{}             // holds one: a document was received
	changed    chan struct{}             // holds one: there is something new to acknowledge
	onJudged   func(api.Document, error) // called with each document that was applied or rejected; may be nil
	muted      func() bool               // another process of this sidecar acknowledges for it
	file       *Config                   // as it was last read; the process's own

	mu            sync.Mutex
	seenRevisions map[string]int64 // the highest received, by region
	latest        api.Document     // the newest received; Revision 0: none
	judged        bool             // that one was applied or rejected
	inForce       api.Document     // Revision 0: none yet; the file's settings are, as they are once it is deleted
	lastGood      api.Document     // the same, or what the predecessor had: it stays on disk until another is in force
	rejected      error            // why latest is not in force
	changes       int64            // of what is to be persisted
	ignored       api.Document     // received below the highest revision, last
}

// newSettingsFollower is nil where the configuration names no service.
func newSettingsFollower(c *Config) *settingsFollower {
	if c.Service == "" {
		return nil
	}
	return &settingsFollower{name: c.Service, node: c.Name, file: c, received: make(chan struct{}, 1), changed: make(chan struct{}, 1),
		muted: func() bool { return false }, seenRevisions: map[string]int64{}}
}

// pending wakes the process once there is a document to judge.
func (s *settingsFollower) pending() <-chan struct{} {
	if s == nil {
		return nil
	}
	return s.received
}

// query is what a watch asks for beside the list: whatever changes from the document that was told last, rejected or not.
func (s *settingsFollower) query() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return client.Service(s.name, s.latest)
}

// onDocuments takes documents from the watch and never waits: of several the newest is judged, and one that is below what its region was
// heard to have is none.
func (s *settingsFollower) onDocuments(documents []api.Document) {
	if s == nil {
		return
	}
	for _, d := range documents {
		if d.Service != s.name || d.Revision < 1 {
			continue
		}
		if why, seen := s.accept(d); why != "" {
			logAttrs(slog.LevelWarn, ofSettings, why, attrsOf(d, slog.Int64("seen", seen))...)
		}
	}
}

// accept is hear for one document; why it is not taken in is said once, as each watch may tell it again.
func (s *settingsFollower) accept(d api.Document) (why string, seen int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen, known := s.seenRevisions[d.Region]
	switch {
	case same(d, s.latest) || same(d, s.ignored):
		return "", seen
	case d.Revision < seen:
		s.ignored = d
		return "settings document ignored, a newer revision is known", seen
	case !known && len(s.seenRevisions) >= maxRegions:
		s.ignored = d
		return "settings document ignored, too many regions", seen
	}
	if len(d.Settings) > api.MaxSettings {
		d.Settings = nil // judged as what it is, and not kept
	}
	s.seenRevisions[d.Region] = d.Revision
	s.latest, s.judged = d, false
	wake(s.received)
	return "", seen
}

// wake leaves a word for whoever waits on c, which holds one.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// same tells whether two are one version of one document.
func same(a, b api.Document) bool { return a.Region == b.Region && a.Revision == b.Revision }

func attrsOf(d api.Document, more ...slog.Attr) []slog.Attr {
	return append([]slog.Attr{slog.String("service", d.Service), slog.String("region", d.Region), slog.Int64("version", d.Revision)}, more...)
}

// nextDocument is the document to judge, if there is any. One that was rejected stays so in this process: a file that is read anew lacks
// nothing that the one before had, and asks no less of it.
func (s *settingsFollower) nextDocument() (d api.Document, any bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latest, s.latest.Revision > 0 && !s.judged
}

// overlay lays the document in force over a file that was read anew.
func (s *settingsFollower) overlay(file *Config) (*Config, error) {
	if s == nil {
		return file, nil
	}
	s.mu.Lock()
	d := s.inForce
	s.mu.Unlock()
	c, err := file.withDocument(d)
	if err != nil {
		return nil, fmt.Errorf("under the settings of %s, version %d, which are in force: %w", d.Service, d.Revision, err)
	}
	return c, nil
}

// withDocument is the configuration with a document's settings in place of its own. Where the sidecar stands and how its list comes is the
// file's to say: a document is for all of a service. It must name what the file names: a key that is absent reads like a limit that
// was never set.
func (c *Config) withDocument(d api.Document) (*Config, error) {
	if d.Revision == 0 || d.Deleted {
		return c, nil
	}
	if len(d.Settings) == 0 {
		return nil, fmt.Errorf("no settings, or more than %d bytes of them", api.MaxSettings)
	}
	read, err := settings.Check(d.Schema, d.Settings)
	if err != nil {
		return nil, err
	}
	keys, err := settings.DocumentKeys(d.Settings)
	if err != nil {
		return nil, err
	}
	ours := maps.Clone(c.keys)
	maps.DeleteFunc(ours, func(key string, _ bool) bool { return !strings.HasPrefix(key, settings.Under) })
	if key := keys.Lacks(ours, settings.Under+"Zone", settings.Under+"Discovery"); key != "" {
		return nil, fmt.Errorf("lacks %s, which this sidecar's file has", key)
	}
	read.Zone, read.MustSubscribe = c.Settings.Zone, c.Settings.MustSubscribe
	own := *c
	own.Settings = c.withDefaults(read)
	return &own, nil
}

// judge notes what became of a document.
func (s *settingsFollower) judge(d api.Document, why error) {
	s.mu.Lock()
	if same(d, s.latest) {
		s.judged, s.rejected = true, why
	}
	if why == nil {
		s.inForce, s.lastGood = d, d
	}
	s.changes++
	s.mu.Unlock()
	wake(s.changed)
	switch {
	case why != nil:
		logAttrs(slog.LevelWarn, ofSettings, "settings rejected, earlier ones stay in force", attrsOf(d, slog.Any("err", why))...)
	case d.Deleted:
		logAttrs(slog.LevelInfo, ofSettings, "settings deleted, those of the file are in force", attrsOf(d)...)
	default:
		logAttrs(slog.LevelInfo, ofSettings, "in force", attrsOf(d)...)
	}
	if s.onJudged != nil {
		s.onJudged(d, why)
	}
}

// persisted is what is to outlive the process, and the count of its changes; nil: nothing was told yet.
func (s *settingsFollower) persisted() (*statestore.Settings, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changes == 0 {
		return nil, 0
	}
	return &statestore.Settings{Service: s.name, Document: s.lastGood, Seen: maps.Clone(s.seenRevisions)}, s.changes
}

// restore begins with what the process before had in force.
func (s *settingsFollower) restore(k *statestore.Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for region, version := range k.Seen {
		if len(s.seenRevisions) < maxRegions {
			s.seenRevisions[region] = max(s.seenRevisions[region], version)
		}
	}
	if d := k.Document; d.Revision > 0 {
		s.seenRevisions[d.Region] = max(s.seenRevisions[d.Region], d.Revision)
		s.latest, s.lastGood = d, d
	}
}

// ack is this sidecar's word on the document that it heard of last.
func (s *settingsFollower) ack() api.Ack {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := api.Ack{Node: s.node, Service: s.name, Region: s.inForce.Region}
	if !s.inForce.Deleted {
		a.Revision = s.inForce.Revision
	}
	if s.judged && s.rejected != nil {
		why := s.rejected.Error()
		if s.latest.Region != s.inForce.Region && a.Revision > 0 { // versions of two regions can't stand beside each other
			why = fmt.Sprintf("version %d of region %q is in force: %s", a.Revision, a.Region, why)
			a.Revision = 0
		}
		a.Region, a.RejectedRevision, a.Reason = s.latest.Region, s.latest.Revision, cutText(why, api.MaxReason)
	}
	return a
}

// lines words the figures for operators.
func (s *settingsFollower) lines(d *endpointDirectory) string {
	if s == nil {
		return ""
	}
	index, _ := d.revision()
	return fmt.Sprintf("gw.settings_version:%d|g\ngw.list_version:%d|g\n", s.ack().Revision, index)
}

// applyDocument takes the newest document in, whole or not at all; post hands the balancer its settings.
func (p *process) applyDocument(post func(any)) {
	d, any := p.service.nextDocument()
	if !any {
		return
	}
	c, err := p.service.file.withDocument(d)
	if err == nil {
		p.config = c
		p.applySettings(post)
	}
	p.service.judge(d, err)
}

// restoreDocument begins with the settings that the process before had in force, before anything runs; from the process itself, or from the
// disk.
func (p *process) restoreDocument(before *statestore.Settings) {
	if p.service == nil {
		return
	}
	if before == nil {
		before = p.loaded.Settings
	}
	if before == nil {
		return
	}
	if before.Service != p.service.name {
		logWarning(ofSettings, "persisted settings not used", fmt.Errorf("it is of service %s", quoteShort(before.Service)))
		return
	}
	p.service.restore(before)
	p.applyDocument(p.loop.onUrgent)
}
