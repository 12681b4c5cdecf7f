package crashfs

import (
	"math/rand/v2"
	"slices"
)

const (
	maxEnumeratedOps   = 8   // unsynced calls of which every subset is enumerated; of more calls, random subsets
	maxTornAtEveryByte = 128 // bytes of a write that is torn at every byte; a longer one is torn at its ends and
	randomTears        = 12  // at this many random bytes
)

// Crashes calls found with each state in which the disk may be after a power loss behind ops[:n], for every n from 0 to the
// number of calls, until found returns false. found owns the map. Crashes returns the number of states.
func (f *FS) Crashes(seed uint64, found func(n int, disk map[string][]byte) bool) (states int) {
	f.mu.Lock()
	ops := slices.Clone(f.ops)
	f.mu.Unlock()
	rng := rand.New(rand.NewPCG(seed, 0))
	for n := range len(ops) + 1 {
		open := unsyncedOps(ops[:n])
		for _, chosen := range subsets(open, rng) {
			for _, tear := range tearOffsets(ops, chosen, rng) {
				states++
				if !found(n, diskState(ops[:n], open, chosen, tear)) {
					return states
				}
			}
		}
	}
	return states
}

// unsyncedOps returns the calls that are not known to be on disk.
func unsyncedOps(ops []op) (at []int) {
	for i, o := range ops {
		switch o.kind {
		case write:
			if !slices.ContainsFunc(ops[i:], func(x op) bool { return x.kind == syncFile && x.inode == o.inode }) {
				at = append(at, i)
			}
		case create, rename, remove:
			if !slices.ContainsFunc(ops[i:], func(x op) bool { return x.kind == syncDir }) {
				at = append(at, i)
			}
		}
	}
	return at
}

// subsets returns all subsets of a few calls; of many, the empty one, the full one, and random ones.
func subsets(of []int, rng *rand.Rand) (all [][]int) {
	pick := func(mask uint64) (s []int) {
		for i, at := range of {
			if i < 64 && mask&(1<<i) != 0 {
				s = append(s, at)
			}
		}
		return s
	}
	if len(of) <= maxEnumeratedOps {
		for mask := range uint64(1) << len(of) {
			all = append(all, pick(mask))
		}
		return all
	}
	all = append(all, nil, of)
	for range 1<<maxEnumeratedOps - 2 {
		all = append(all, pick(rng.Uint64()))
	}
	return all
}

// tearOffsets returns the lengths to which the last write of a subset is torn; -1: it is complete.
func tearOffsets(ops []op, chosen []int, rng *rand.Rand) []int {
	last := lastWrite(ops, chosen)
	if last < 0 {
		return []int{-1}
	}
	n := len(ops[last].data)
	at := []int{-1, 0, n - 1}
	if n <= maxTornAtEveryByte {
		at = []int{-1}
		for i := range n {
			at = append(at, i)
		}
	} else {
		for range randomTears {
			at = append(at, 1+rng.IntN(n-1))
		}
	}
	return at
}

func lastWrite(ops []op, chosen []int) int {
	last := -1
	for _, i := range chosen {
		if ops[i].kind == write {
			last = max(last, i)
		}
	}
	return last
}

// diskState returns the files after a crash: all durable calls and the chosen ones of the others (open), the last write cut to
// tear bytes.
func diskState(ops []op, open, chosen []int, tear int) map[string][]byte {
	last := lastWrite(ops, chosen)
	content := map[int][]byte{}
	names := map[string]int{}
	for i, o := range ops {
		if slices.Contains(open, i) && !slices.Contains(chosen, i) {
			continue
		}
		switch o.kind {
		case write:
			data := o.data
			if i == last && tear >= 0 {
				data = data[:min(tear, len(data))]
			}
			if o.offset < 0 || len(data) == 0 {
				continue
			}
			c := content[o.inode]
			for len(c) < o.offset+len(data) { // a hole reads as zeros
				c = append(c, 0)
			}
			copy(c[o.offset:], data)
			content[o.inode] = c
		case create:
			names[o.name] = o.inode
		case rename:
			if names[o.name] == o.inode {
				delete(names, o.name)
			}
			names[o.to] = o.inode
		case remove:
			delete(names, o.name)
		}
	}
	found := map[string][]byte{}
	for name, inode := range names {
		found[name] = slices.Clone(content[inode])
	}
	return found
}
