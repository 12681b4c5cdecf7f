package sidecar

// wake wakes the goroutine that receives from c, which must have a buffer of one. It does not block.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
