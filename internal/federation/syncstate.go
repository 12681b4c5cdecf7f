package federation

// SyncState is how the leader that follows a region stands to its list. The zero value: it has only begun to lead.
type SyncState struct {
	Synced   bool   // all of the list was taken in since, and nothing in doubt after that
	Anomaly  string // what of it is not taken in
	Rejected string // why the last of it was not
}

// NextRevision is the version that is asked on from, of the one that is held; -1: all is asked for. unheard tells that the region gave no
// sign of life for as long as that it could have been put back to an old copy, and have gone on from it to a version that tells
// nothing of that.
func (s *SyncState) NextRevision(replicated int64, unheard bool) int64 {
	if s.Synced = s.Synced && !unheard; !s.Synced {
		return -1
	}
	return replicated
}

// Record notes what came of a listing. After one that was not taken in the whole list is asked for.
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
