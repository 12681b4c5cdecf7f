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

// maxRegions is the maximum number of regions whose revisions are remembered; fleets have fewer regions.
const maxRegions = 64

// settingsFollower follows the settings of the sidecar's service, which the list service sends with the list. The watch
// receives documents; the process applies the newest, completely or not at all, on top of its configuration file. A nil
// settingsFollower follows no settings. It is safe for concurrent use; its methods don't block.
type settingsFollower struct {
	service, node string
	received      chan struct{}             // buffer of one; signals that a document was received
	changed       chan struct{}             // buffer of one; signals a change to acknowledge
	onOutcome     func(api.Document, error) // called with each document that was applied or rejected; may be nil
	muted         func() bool               // reports whether another process of this sidecar sends the acknowledgements
	fileConfig    *Config                   // configuration file as last read; used only by the goroutine of the process

	mu            sync.Mutex
	seenRevisions map[string]int64 // the highest received revision, by region
	latest        api.Document     // the newest document received; Revision is 0 if there is none
	processed     bool             // latest was applied or rejected
	inForce       api.Document     // the document in force; if its Revision is 0, or after a deletion, the file's settings are in force
	lastGood      api.Document     // the document to store on disk: inForce or, until a document is in force, that of the previous process
	rejected      error            // why latest is not in force
	changes       int64            // number of changes of the persisted state
	ignored       api.Document     // the last document that was ignored
}

// newSettingsFollower returns nil if the configuration names no service.
func newSettingsFollower(c *Config) *settingsFollower {
	if c.Service == "" {
		return nil
	}
	return &settingsFollower{service: c.Service, node: c.Name, fileConfig: c, received: make(chan struct{}, 1), changed: make(chan struct{}, 1),
		muted: func() bool { return false }, seenRevisions: map[string]int64{}}
}

// pending returns the channel that wakes the process once there is a document to apply.
func (s *settingsFollower) pending() <-chan struct{} {
	if s == nil {
		return nil
	}
	return s.received
}

// query returns the part of a watch's query that requests the changes of the settings since the document received last,
// applied or not.
func (s *settingsFollower) query() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return client.Service(s.service, s.latest)
}

// onDocuments receives documents from the watch. Only the newest of them is applied; one below the highest known revision of
// its region is ignored.
func (s *settingsFollower) onDocuments(documents []api.Document) {
	if s == nil {
		return
	}
	for _, d := range documents {
		if d.Service != s.service || d.Revision < 1 {
			continue
		}
		if ignored, seen := s.receive(d); ignored != "" {
			logAttrs(slog.LevelWarn, componentSettings, ignored, documentAttrs(d, slog.Int64("seen", seen))...)
		}
	}
}

// receive receives one document. If the document is ignored, it returns the reason, but only the first time, since each
// watch may send the document again.
func (s *settingsFollower) receive(d api.Document) (ignored string, seen int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen, known := s.seenRevisions[d.Region]
	switch {
	case sameRevision(d, s.latest) || sameRevision(d, s.ignored):
		return "", seen
	case d.Revision < seen:
		s.ignored = d
		return "settings document ignored, a newer revision is known", seen
	case !known && len(s.seenRevisions) >= maxRegions:
		s.ignored = d
		return "settings document ignored, too many regions", seen
	}
	if len(d.Settings) > api.MaxSettings {
		d.Settings = nil // too large to retain in memory; withDocument then rejects the document
	}
	s.seenRevisions[d.Region] = d.Revision
	s.latest, s.processed = d, false
	wake(s.received)
	return "", seen
}

// sameRevision reports whether two documents have the same region and revision.
func sameRevision(a, b api.Document) bool { return a.Region == b.Region && a.Revision == b.Revision }

// documentAttrs returns log attributes that identify a document, followed by more.
func documentAttrs(d api.Document, more ...slog.Attr) []slog.Attr {
	return append([]slog.Attr{slog.String("service", d.Service), slog.String("region", d.Region), slog.Int64("version", d.Revision)}, more...)
}

// nextDocument returns the document to apply; ok is false if there is none. A rejected document is not returned again in
// this process, since a reloaded configuration file can't require less of it than the file before.
func (s *settingsFollower) nextDocument() (d api.Document, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latest, s.latest.Revision > 0 && !s.processed
}

// overlay returns a reloaded configuration file with the settings of the document in force.
func (s *settingsFollower) overlay(file *Config) (*Config, error) {
	if s == nil {
		return file, nil
	}
	s.mu.Lock()
	d := s.inForce
	s.mu.Unlock()
	c, err := file.withDocument(d)
	if err != nil {
		return nil, fmt.Errorf("combining the reloaded file with the settings in force (service %s, version %d): %w", d.Service, d.Revision, err)
	}
	return c, nil
}

// withDocument returns the configuration with the settings of a document in place of its own, except for the sidecar's zone
// and the way in which it gets its list, since a document is for all sidecars of a service. A document must have every key
// that the file has: an absent key would be read as a limit that was never set.
func (c *Config) withDocument(d api.Document) (*Config, error) {
	if d.Revision == 0 || d.Deleted {
		return c, nil
	}
	if len(d.Settings) == 0 {
		return nil, fmt.Errorf("no settings, or more than %d bytes of them", api.MaxSettings)
	}
	parsed, err := settings.Check(d.Schema, d.Settings)
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
	parsed.Zone, parsed.MustSubscribe = c.Settings.Zone, c.Settings.MustSubscribe
	merged := *c
	merged.Settings = c.withDefaults(parsed)
	return &merged, nil
}

// recordOutcome records that a document was applied, or with an error that it was rejected.
func (s *settingsFollower) recordOutcome(d api.Document, rejected error) {
	s.mu.Lock()
	if sameRevision(d, s.latest) {
		s.processed, s.rejected = true, rejected
	}
	if rejected == nil {
		s.inForce, s.lastGood = d, d
	}
	s.changes++
	s.mu.Unlock()
	wake(s.changed)
	switch {
	case rejected != nil:
		logAttrs(slog.LevelWarn, componentSettings, "settings rejected, earlier ones stay in force", documentAttrs(d, slog.Any("err", rejected))...)
	case d.Deleted:
		logAttrs(slog.LevelInfo, componentSettings, "settings deleted, those of the file are in force", documentAttrs(d)...)
	default:
		logAttrs(slog.LevelInfo, componentSettings, "in force", documentAttrs(d)...)
	}
	if s.onOutcome != nil {
		s.onOutcome(d, rejected)
	}
}

// persisted returns the state that is to outlive the process, and the number of its changes; nil if nothing was received.
func (s *settingsFollower) persisted() (*statestore.Settings, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changes == 0 {
		return nil, 0
	}
	return &statestore.Settings{Service: s.service, Document: s.lastGood, Seen: maps.Clone(s.seenRevisions)}, s.changes
}

// restore restores the settings that the previous process had in force; nextDocument then returns them.
func (s *settingsFollower) restore(persisted *statestore.Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for region, revision := range persisted.Seen {
		if len(s.seenRevisions) < maxRegions {
			s.seenRevisions[region] = max(s.seenRevisions[region], revision)
		}
	}
	if d := persisted.Document; d.Revision > 0 {
		s.seenRevisions[d.Region] = max(s.seenRevisions[d.Region], d.Revision)
		s.latest, s.lastGood = d, d
	}
}

// ack returns the acknowledgement to send: the revision in force, and the document received last if it was rejected.
func (s *settingsFollower) ack() api.Ack {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := api.Ack{Node: s.node, Service: s.service, Region: s.inForce.Region}
	if !s.inForce.Deleted {
		a.Revision = s.inForce.Revision
	}
	if s.processed && s.rejected != nil {
		reason := s.rejected.Error()
		if s.latest.Region != s.inForce.Region && a.Revision > 0 { // an Ack has one region, so it can't state the revisions of two regions
			reason = fmt.Sprintf("version %d of region %q is in force: %s", a.Revision, a.Region, reason)
			a.Revision = 0
		}
		a.Region, a.RejectedRevision, a.Reason = s.latest.Region, s.latest.Revision, cutText(reason, api.MaxReason)
	}
	return a
}

// lines returns the lines of STATS about settings.
func (s *settingsFollower) lines(d *endpointDirectory) string {
	if s == nil {
		return ""
	}
	revision, _ := d.revision()
	return fmt.Sprintf("gw.settings_version:%d|g\ngw.list_version:%d|g\n", s.ack().Revision, revision)
}

// applyDocument applies the newest document, completely or not at all; post sends the settings to the balancer.
func (p *process) applyDocument(post func(any)) {
	d, ok := p.follower.nextDocument()
	if !ok {
		return
	}
	c, err := p.follower.fileConfig.withDocument(d)
	if err == nil {
		p.config = c
		p.applySettings(post)
	}
	p.follower.recordOutcome(d, err)
}

// restoreDocument applies the settings that the previous process had in force, from that process or from the disk. It is
// called before any goroutine of the process runs.
func (p *process) restoreDocument(persisted *statestore.Settings) {
	if p.follower == nil {
		return
	}
	if persisted == nil {
		persisted = p.loaded.Settings
	}
	if persisted == nil {
		return
	}
	if persisted.Service != p.follower.service {
		logWarning(componentSettings, "persisted settings not used", fmt.Errorf("they belong to service %s", quoteShort(persisted.Service)))
		return
	}
	p.follower.restore(persisted)
	p.applyDocument(p.dispatcher.onUrgent)
}
