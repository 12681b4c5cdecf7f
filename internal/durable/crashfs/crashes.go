package crashfs

import (
	"math/rand/v2"
	"slices"
)

const (
	maxEnumeratedOps   = 8   // every subset of up to this many unsynced calls is tried; of more calls, random subsets
	maxTornAtEveryByte = 128 // a write of up to this many bytes is torn at every byte; a longer one at its ends and at random bytes
	randomTears        = 12  // number of random bytes at which a longer write is torn
)

// Crashes calls visit with each state in which the disk may be if power is lost after the first n recorded calls, for every
// n from 0 to the number of calls, until visit returns false. visit owns the map. Crashes returns the number of states.
func (f *FS) Crashes(seed uint64, visit func(n int, disk map[string][]byte) bool) (states int) {
	f.mu.Lock()
	ops := slices.Clone(f.ops)
	f.mu.Unlock()
	rng := rand.New(rand.NewPCG(seed, 0))
	for n := range len(ops) + 1 {
		unsynced := unsyncedOps(ops[:n])
		for _, chosen := range subsets(unsynced, rng) {
			for _, tear := range tearOffsets(ops, chosen, rng) {
				states++
				if !visit(n, diskState(ops[:n], unsynced, chosen, tear)) {
					return states
				}
			}
		}
	}
	return states
}

// unsyncedOps returns the indexes of the calls that are not known to be on disk.
func unsyncedOps(ops []op) (indexes []int) {
	for i, o := range ops {
		switch o.kind {
		case write:
			if !slices.ContainsFunc(ops[i:], func(later op) bool { return later.kind == syncFile && later.inode == o.inode }) {
				indexes = append(indexes, i)
			}
		case create, rename, remove:
			if !slices.ContainsFunc(ops[i:], func(later op) bool { return later.kind == syncDir }) {
				indexes = append(indexes, i)
			}
		}
	}
	return indexes
}

// subsets returns all subsets of the calls if there are at most maxEnumeratedOps; otherwise the empty subset, the full one and
// random ones.
func subsets(indexes []int, rng *rand.Rand) (all [][]int) {
	pick := func(mask uint64) (subset []int) {
		for i, index := range indexes {
			if i < 64 && mask&(1<<i) != 0 {
				subset = append(subset, index)
			}
		}
		return subset
	}
	if len(indexes) <= maxEnumeratedOps {
		for mask := range uint64(1) << len(indexes) {
			all = append(all, pick(mask))
		}
		return all
	}
	all = append(all, nil, indexes)
	for range 1<<maxEnumeratedOps - 2 {
		all = append(all, pick(rng.Uint64()))
	}
	return all
}

// tearOffsets returns the lengths to which the last write of a subset is cut; -1 stands for the complete write.
func tearOffsets(ops []op, chosen []int, rng *rand.Rand) []int {
	last := lastWrite(ops, chosen)
	if last < 0 {
		return []int{-1}
	}
	n := len(ops[last].data)
	offsets := []int{-1, 0, n - 1}
	if n <= maxTornAtEveryByte {
		offsets = []int{-1}
		for i := range n {
			offsets = append(offsets, i)
		}
	} else {
		for range randomTears {
			offsets = append(offsets, 1+rng.IntN(n-1))
		}
	}
	return offsets
}

// lastWrite returns the index of the last write in a subset, or -1 if there is none.
func lastWrite(ops []op, chosen []int) int {
	last := -1
	for _, i := range chosen {
		if ops[i].kind == write {
			last = max(last, i)
		}
	}
	return last
}

// diskState returns the files after a crash: those that result from all durable calls and the chosen ones of the unsynced
// calls, with the last chosen write cut to tear bytes (-1: complete).
func diskState(ops []op, unsynced, chosen []int, tear int) map[string][]byte {
	last := lastWrite(ops, chosen)
	content := map[int][]byte{}
	names := map[string]int{}
	for i, o := range ops {
		if slices.Contains(unsynced, i) && !slices.Contains(chosen, i) {
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
			fileData := content[o.inode]
			for len(fileData) < o.offset+len(data) { // a hole reads as zeros
				fileData = append(fileData, 0)
			}
			copy(fileData[o.offset:], data)
			content[o.inode] = fileData
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
	files := map[string][]byte{}
	for name, inode := range names {
		files[name] = slices.Clone(content[inode])
	}
	return files
}
