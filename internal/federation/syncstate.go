package federation

// SyncState is how the replication of one region goes on.
type SyncState struct {
	Synced   bool   // all of the list was taken in since, and nothing in doubt after that
	Anomaly  string // what of it is not taken in
	Rejected string // why the last of it was not
}

// NextRevision is the revision from which changes are requested, given the replicated one; -1: the full list
// is. silent tells that the region sent nothing for so long that it may have been restored to an earlier
// state.
func (s *SyncState) NextRevision(replicated int64, unheard bool) int64 {
	if s.Synced = s.Synced && !unheard; !s.Synced {
		return -1
	}
	return replicated
}

// Record takes in what became of an event.
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
