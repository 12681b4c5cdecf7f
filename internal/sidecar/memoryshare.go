package sidecar

import (
	"runtime/debug"
	"runtime/metrics"
)

// The two processes of an upgrade share the memory limit. A successor starts with startMemory, which its predecessor leaves to it as soon
// as it connects. Once the predecessor no longer accepts clients, it keeps what its connections need, states that, and only ever lowers
// it; the successor has the rest.

const (
	heapFraction    = 0.8      // fraction of a process's memory for the Go runtime
	startFraction   = 0.25     // fraction of the memory limit with which a successor starts
	minStartMemory  = 10 << 20 // bytes with which a successor starts, unless that is more than half of the limit
	memoryStep      = 1 << 20  // step by which a process lowers its memory
	processOverhead = 1 << 20  // memory of a process that the Go runtime does not count
)

// setMemory sets how many bytes this process may use. If they are fewer than before, it returns what is free to the system at once: the
// runtime would do so by and by, while the other process uses the memory already.
func (p *process) setMemory(bytes int64) {
	if p.ownMemory.Swap(bytes)-bytes >= memoryStep {
		defer debug.FreeOSMemory()
	}
	debug.SetMemoryLimit(int64(float64(bytes) * heapFraction))
	p.upstreams.memory.setLimit(accountLimit(float64(bytes)))
}

// startMemory returns how many bytes a successor may use until its predecessor states what it needs itself.
func (p *process) startMemory() int64 {
	return min(max(int64(float64(p.memoryLimit)*startFraction), minStartMemory), p.memoryLimit/2)
}

// shareMemory leaves memory for the start of another process, or takes all of it again.
func (p *process) shareMemory(shared bool) {
	bytes := p.memoryLimit
	if shared {
		bytes -= p.startMemory()
	}
	p.setMemory(bytes)
}

// yieldMemory lowers the memory of this process, which accepts no clients any more, to what its connections need, and returns it.
func (p *process) yieldMemory() int64 {
	needed := int64(float64(p.upstreams.memory.reserved()+processMemory) / accountFraction)
	needed = (needed/memoryStep + 1) * memoryStep
	needed = min(max(needed, p.startMemory()), p.ownMemory.Load())
	if p.ownMemory.Load()-needed >= memoryStep {
		p.setMemory(needed)
	}
	return max(p.ownMemory.Load(), min(runtimeMemory()+processOverhead, p.memoryLimit-p.startMemory()))
}

// runtimeMemory returns how many bytes the Go runtime has from the system.
func runtimeMemory() int64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64() - samples[1].Value.Uint64())
}
