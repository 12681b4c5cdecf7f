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

// maxRegions is the number of regions whose revisions are remembered; fleets have fewer.
const maxRegions = 64

// settingsFollower follows the settings of the sidecar's service, which the list service sends with the list. The watch
// receives documents; the process applies the newest, completely or not at all, on top of its configuration file. A nil
// one follows none. Safe for concurrent use; its methods don't block.
type settingsFollower struct {
	name, node string
	received   chan struct{}             // has a buffer of one: a document was received
	changed    chan struct{}             // has a buffer of one: there is something new to acknowledge
	onJudged   func(api.Document, error) // called with each document that was applied or rejected; may be nil
	muted      func() bool               // another process of this sidecar acknowledges for it
	file       *Config                   // as last read; belongs to the process

	mu            sync.Mutex
	seenRevisions map[string]int64 // the highest received, by region
	latest        api.Document     // the newest received; Revision 0: none
	judged        bool             // whether latest was applied or rejected
	inForce       api.Document     // Revision 0: none yet; then, as after a deletion, the file's settings are in force
	lastGood      api.Document     // inForce, or that of the predecessor, which stays on disk until another is in force
	rejected      error            // why latest is not in force
	changes       int64            // number of changes of what is persisted
	ignored       api.Document     // the last one received below the highest revision
}

// newSettingsFollower returns nil if the configuration names no service.
func newSettingsFollower(c *Config) *settingsFollower {
	if c.Service == "" {
		return nil
	}
	return &settingsFollower{name: c.Service, node: c.Name, file: c, received: make(chan struct{}, 1), changed: make(chan struct{}, 1),
		muted: func() bool { return false }, seenRevisions: map[string]int64{}}
}

// pending returns the channel that wakes the process once there is a document to apply.
func (s *settingsFollower) pending() <-chan struct{} {
	if s == nil {
		return nil
	}
	return s.received
}

// query returns what a watch requests beside the list: changes since the document received last, applied or not.
func (s *settingsFollower) query() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return client.Service(s.name, s.latest)
}

// onDocuments receives documents of the watch. Of several only the newest is applied; one below the highest known revision
// of its region is ignored.
func (s *settingsFollower) onDocuments(documents []api.Document) {
	if s == nil {
		return
	}
	for _, d := range documents {
		if d.Service != s.name || d.Revision < 1 {
			continue
		}
		if ignored, seen := s.accept(d); ignored != "" {
			logAttrs(slog.LevelWarn, componentSettings, ignored, attrsOf(d, slog.Int64("seen", seen))...)
		}
	}
}

// accept receives one document. It returns why the document is ignored, only once for each, as every watch may send it again.
func (s *settingsFollower) accept(d api.Document) (ignored string, seen int64) {
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
		d.Settings = nil // rejected by withDocument, and not kept in memory
	}
	s.seenRevisions[d.Region] = d.Revision
	s.latest, s.judged = d, false
	wake(s.received)
	return "", seen
}

// same reports whether two documents have the same region and revision.
func same(a, b api.Document) bool { return a.Region == b.Region && a.Revision == b.Revision }

// attrsOf returns log attributes that identify a document, and more.
func attrsOf(d api.Document, more ...slog.Attr) []slog.Attr {
	return append([]slog.Attr{slog.String("service", d.Service), slog.String("region", d.Region), slog.Int64("version", d.Revision)}, more...)
}

// nextDocument returns the document to apply, if there is any. One that was rejected is not applied later in this process: a
// configuration file that is read again can't ask less of it than the one before.
func (s *settingsFollower) nextDocument() (d api.Document, any bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latest, s.latest.Revision > 0 && !s.judged
}

// overlay applies the document in force to a configuration file that was read again.
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

// withDocument returns the configuration with the settings of a document in place of its own, but for the sidecar's zone and
// the way its list arrives, since a document is for all sidecars of a service. A document must have every key that the file
// has: an absent key would be read as a limit that was never set.
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
	required := maps.Clone(c.keys)
	maps.DeleteFunc(required, func(key string, _ bool) bool { return !strings.HasPrefix(key, settings.Under) })
	if key := keys.Lacks(required, settings.Under+"Zone", settings.Under+"Discovery"); key != "" {
		return nil, fmt.Errorf("lacks %s, which this sidecar's file has", key)
	}
	read.Zone, read.MustSubscribe = c.Settings.Zone, c.Settings.MustSubscribe
	merged := *c
	merged.Settings = c.withDefaults(read)
	return &merged, nil
}

// judge records that a document was applied, or with an error that it was rejected.
func (s *settingsFollower) judge(d api.Document, rejected error) {
	s.mu.Lock()
	if same(d, s.latest) {
		s.judged, s.rejected = true, rejected
	}
	if rejected == nil {
		s.inForce, s.lastGood = d, d
	}
	s.changes++
	s.mu.Unlock()
	wake(s.changed)
	switch {
	case rejected != nil:
		logAttrs(slog.LevelWarn, componentSettings, "settings rejected, earlier ones stay in force", attrsOf(d, slog.Any("err", rejected))...)
	case d.Deleted:
		logAttrs(slog.LevelInfo, componentSettings, "settings deleted, those of the file are in force", attrsOf(d)...)
	default:
		logAttrs(slog.LevelInfo, componentSettings, "in force", attrsOf(d)...)
	}
	if s.onJudged != nil {
		s.onJudged(d, rejected)
	}
}

// persisted returns what is to outlive the process, and the number of its changes; nil: nothing has been received.
func (s *settingsFollower) persisted() (*statestore.Settings, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changes == 0 {
		return nil, 0
	}
	return &statestore.Settings{Service: s.name, Document: s.lastGood, Seen: maps.Clone(s.seenRevisions)}, s.changes
}

// restore starts with the settings that the previous process had in force.
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

// ack returns the acknowledgement of the document received last.
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

// lines returns the figures for operators.
func (s *settingsFollower) lines(d *endpointDirectory) string {
	if s == nil {
		return ""
	}
	index, _ := d.revision()
	return fmt.Sprintf("gw.settings_version:%d|g\ngw.list_version:%d|g\n", s.ack().Revision, index)
}

// applyDocument applies the newest document, completely or not at all; post hands the settings to the balancer.
func (p *process) applyDocument(post func(any)) {
	d, any := p.follower.nextDocument()
	if !any {
		return
	}
	c, err := p.follower.file.withDocument(d)
	if err == nil {
		p.config = c
		p.applySettings(post)
	}
	p.follower.judge(d, err)
}

// restoreDocument starts with the settings that the previous process had in force, from that process or from the disk. It is
// called before anything runs.
func (p *process) restoreDocument(before *statestore.Settings) {
	if p.follower == nil {
		return
	}
	if before == nil {
		before = p.loaded.Settings
	}
	if before == nil {
		return
	}
	if before.Service != p.follower.name {
		logWarning(componentSettings, "persisted settings not used", fmt.Errorf("it is of service %s", quoteShort(before.Service)))
		return
	}
	p.follower.restore(before)
	p.applyDocument(p.dispatcher.onUrgent)
}
