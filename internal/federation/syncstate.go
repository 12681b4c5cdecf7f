package federation

// SyncState is the state of the replication of one region.
type SyncState struct {
	Synced   bool   // a full list was applied, and nothing since then makes another one necessary
	Anomaly  string // what was left out of the events since the last full list; empty if nothing was
	Rejected string // why the last event was rejected; empty if it was applied
}

// NextRevision returns the revision after which to request changes: the replicated one, or -1 for the full list
// if the region is not synced. silent says that the region has sent nothing for so long that it may have been
// restored to an earlier state; it clears Synced.
func (s *SyncState) NextRevision(replicated int64, silent bool) int64 {
	if s.Synced = s.Synced && !silent; !s.Synced {
		return -1
	}
	return replicated
}

// Record records the outcome of an event.
func (s *SyncState) Record(snapshot bool, anomaly, rejected string) {
	s.Rejected = rejected
	switch {
	case rejected != "":
		s.Synced = false
	case snapshot:
		s.Synced, s.Anomaly = true, anomaly
	case anomaly != "":
		s.Anomaly = anomaly
	}
}
