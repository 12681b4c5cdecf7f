package sidecar

// wake wakes the reader of c, which has a buffer of one. It does not block.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
