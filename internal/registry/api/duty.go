package api

// Claim is a candidate's wish to hold a duty.
type Claim struct {
	Name    string `json:"name"`   // of the duty
	Holder  string `json:"holder"` // the member and its incarnation: another process of the same member is another holder
	LeaseMs int64  `json:"lease_ms"`
	Epoch   uint64 `json:"epoch,omitempty"` // under which it holds the duty, to renew or to give up; 0: to take
}

// Grant is a duty as the service has it.
type Grant struct {
	Name    string `json:"name"`
	Holder  string `json:"holder"` // empty: nobody
	Epoch   uint64 `json:"epoch"`  // rises with each holder, never falls
	LeaseMs int64  `json:"lease_ms"`
}
