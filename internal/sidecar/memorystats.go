package sidecar

import (
	"log/slog"
	"runtime/metrics"
)

// memoryStats returns what the Go runtime knows of the memory of this process, for the log line of counts. Live memory is what the last
// garbage collection found in use; much of it beside little garbage shows that requests and connections keep it.
func memoryStats() slog.Attr {
	const (
		live = iota
		objects
		stacks
		total
		released
		goroutines
		collections
	)
	samples := []metrics.Sample{
		live:        {Name: "/gc/heap/live:bytes"},
		objects:     {Name: "/memory/classes/heap/objects:bytes"},
		stacks:      {Name: "/memory/classes/heap/stacks:bytes"},
		total:       {Name: "/memory/classes/total:bytes"},
		released:    {Name: "/memory/classes/heap/released:bytes"},
		goroutines:  {Name: "/sched/goroutines:goroutines"},
		collections: {Name: "/gc/cycles/total:gc-cycles"},
	}
	metrics.Read(samples)
	value := func(i int) uint64 { return samples[i].Value.Uint64() }
	return slog.Group("memory", slog.Uint64("live", value(live)), slog.Uint64("objects", value(objects)), slog.Uint64("stacks", value(stacks)),
		slog.Uint64("total", value(total)-value(released)), slog.Uint64("goroutines", value(goroutines)), slog.Uint64("collections", value(collections)))
}
