package federation

// Stand is how the leader that follows a region stands to its list. The zero value: it has only begun to lead.
type Stand struct {
	Whole   bool   // all of the list was taken in since, and nothing in doubt after that
	Odd     string // what of it is not taken in
	Refused string // why the last of it was not
}

// From is the version that is asked on from, of the one that is held; -1: all is asked for. unheard tells that the region gave no
// sign of life for as long as that it could have been put back to an old copy, and have gone on from it to a version that tells
// nothing of that.
func (s *Stand) From(held int64, unheard bool) int64 {
	if s.Whole = s.Whole && !unheard; !s.Whole {
		return -1
	}
	return held
}

// Took notes what came of a listing. After one that was not taken in the whole list is asked for.
func (s *Stand) Took(snapshot bool, odd, refused string) {
	s.Refused = refused
	switch {
	case refused != "":
		s.Whole = false
	case snapshot:
		s.Whole, s.Odd = true, odd
	case odd != "":
		s.Odd = odd
	}
}
