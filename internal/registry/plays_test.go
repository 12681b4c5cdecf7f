package registry_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"syscall"
	"testing"
	"time"

	"mosslead/internal/lab/history"
	"mosslead/internal/lab/relay"
	"mosslead/internal/registry/api"
)

var (
	historyCount = flag.Int("plays", 1, "how many histories of documents are played and judged, at least 1")
	historySeed  = flag.Uint64("playseed", 1, "seed of the first history of documents")
)

// fleet is two regions of real replicas; south follows north over links, and north south.
type fleet struct {
	t            *testing.T
	north, south *quorum
	links        []*relay.Link // of south, to each of north's replicas
}

func newFleet(t *testing.T, north, south int, breaks string) *fleet {
	t.Helper()
	f := &fleet{t: t, north: configureQuorum(t, north), south: configureQuorum(t, south)}
	at := func(q *quorum) (all []string) {
		for _, p := range q.peers {
			all = append(all, p["api"].(string))
		}
		return all
	}
	var over []string
	for i, target := range at(f.north) {
		l, err := relay.New("south", fmt.Sprint("north ", i), unusedAddress(t), target, nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(l.Close)
		f.links, over = append(f.links, l), append(over, l.Address())
	}
	follow := func(region string, at []string) []map[string]any {
		return []map[string]any{{"region": region, "api": at}}
	}
	for i := range north {
		f.north.start(fmt.Sprint("r", i), f.northConfig(follow("south", at(f.south))))
	}
	for i := range south {
		more := map[string]any{"region": "south", "follow": follow("north", over)}
		if breaks != "" {
			more["breaks"] = breaks
		}
		f.south.start(fmt.Sprint("r", i), more)
	}
	f.north.waitServing(north)
	f.south.waitServing(south)
	return f
}

func (f *fleet) northConfig(follow []map[string]any) map[string]any {
	return map[string]any{"region": "north", "follow": follow}
}

func (f *fleet) southAddresses() (all []string) {
	for _, p := range f.south.peers {
		all = append(all, p["api"].(string))
	}
	return all
}

// restart starts one of north's replicas again.
func (f *fleet) restart(name string) {
	f.t.Helper()
	f.north.start(name, f.northConfig([]map[string]any{{"region": "south", "api": f.southAddresses()}}))
}

func (f *fleet) setLinks(s relay.State) {
	f.t.Helper()
	for _, l := range f.links {
		if err := l.Set(s); err != nil {
			f.t.Fatal(err)
		}
	}
}

// startHistory begins to write documents in north, and to listen in both regions.
func (f *fleet) startHistory(ctx context.Context, seed uint64) *history.Run {
	s := history.Spec{Callers: 4, Names: 2, Seed: seed, Documents: true, Followers: f.southAddresses()}
	for _, p := range f.north.peers {
		s.Replicas = append(s.Replicas, p["api"].(string))
	}
	s.Followers = append(s.Followers, s.Replicas...)
	return history.Start(ctx, s)
}

// waitForReplication waits until south has the settings that north has.
func (f *fleet) waitForReplication() time.Duration {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), 20*time.Second)
	defer cancel()
	begun := time.Now()
	for {
		north, err := f.north.client.Documents(ctx, true)
		if err != nil {
			f.t.Fatal(err)
		}
		south, err := f.south.client.Documents(ctx, true)
		if err != nil {
			f.t.Fatal(err)
		}
		if reflect.DeepEqual(north.Documents, south.Documents) {
			return time.Since(begun)
		}
		if ctx.Err() != nil {
			f.t.Fatalf("north has %+v, south %+v", north.Documents, south.Documents)
		}
		time.Sleep(10 * time.Millisecond) // between two looks
	}
}

// injectFaults has one thing after another happen, as the seed draws them, and ends with all in order.
func (f *fleet) injectFaults(rng *rand.Rand) (what []string) {
	signal := func(q *quorum, name string, s syscall.Signal) {
		if err := q.processes[name].Signal(s); err != nil {
			f.t.Fatal(err)
		}
	}
	rest := func(least, limit int) { time.Sleep(time.Duration(least+rng.IntN(limit-least)) * time.Millisecond) }
	for range 2 {
		rest(100, 400)
		switch rng.IntN(6) {
		case 0:
			what = append(what, "south cut off")
			f.setLinks(relay.State{Reset: true})
			rest(300, 1500)
			f.setLinks(relay.State{})
		case 1:
			what = append(what, "south hears nothing")
			f.setLinks(relay.State{SilentBack: true})
			rest(300, 3500)
			f.setLinks(relay.State{})
		case 2:
			what = append(what, "slow and lossy")
			f.setLinks(relay.State{Delay: 100 * time.Millisecond, Loss: 0.05, Chop: 512})
			rest(300, 1500)
			f.setLinks(relay.State{})
		case 3:
			what = append(what, "north's leader killed")
			name := f.north.waitServing(len(f.north.peers))
			f.north.kill(name)
			rest(50, 800)
			f.restart(name)
			f.north.waitServing(len(f.north.peers))
		case 4:
			what = append(what, "north's leader stopped")
			name := f.north.waitServing(len(f.north.peers))
			signal(f.north, name, syscall.SIGSTOP)
			rest(300, 2000)
			signal(f.north, name, syscall.SIGCONT)
		case 5:
			what = append(what, "south's leader stopped")
			name := f.south.waitServing(len(f.south.peers))
			signal(f.south, name, syscall.SIGSTOP)
			rest(300, 2000)
			signal(f.south, name, syscall.SIGCONT)
		}
	}
	rest(100, 300)
	return what
}

// Documents of a region of three replicas, followed by another of three, through cuts, deaths and stops: at their owner all calls can
// have been done one after another, no replica ever tells an older version after a newer, or one that nobody put, and the other region
// has what the owner has soon after. More plays: go test -run TestHistoriesOfDocuments -plays 40 -timeout 30m.
func TestHistoriesOfDocuments(t *testing.T) {
	for i := range max(1, *historyCount) {
		seed := *historySeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			f := newFleet(t, 3, 3, "")
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			run := f.startHistory(ctx, seed)
			what := f.injectFaults(rand.New(rand.NewPCG(seed, 28)))
			stop()
			took := f.waitForReplication()
			found, n := run.EndDocuments()
			t.Logf("%v: %d calls, %d without an answer, %d told, %d watches; caught up in %v", what, n.Calls, n.Unknown, n.Messages, n.Restarts, took.Round(time.Millisecond))
			if took > 7*time.Second {
				t.Errorf("south had it %v after the last change", took)
			}
			if n.Calls < 20 || n.Messages < 20 {
				t.Errorf("too little to be judged: %+v", n)
			}
			for _, b := range found {
				t.Errorf("%s at %v: %s", b.Rule, b.At.Round(time.Millisecond), b.Text)
			}
		})
	}
}

// The owner is put back to an old copy of its disk. A follower stays with what it has seen, says so, and goes on once the owner is
// beyond that; one that takes in what is older is found.
func TestAnOwnerOfBefore(t *testing.T) {
	for _, breaks := range []string{"", "follow-back"} {
		t.Run("breaks "+breaks, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 1, 1, breaks)
			q, old := f.north, filepath.Join(f.north.dir, "old")
			disk := filepath.Join(q.dir, "r0")
			version := put(t, q.client, "h-0", 0, 0)
			f.waitForReplication()
			q.kill("r0")
			if err := os.CopyFS(old, os.DirFS(disk)); err != nil {
				t.Fatal(err)
			}
			f.restart("r0")
			q.waitServing(1)

			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			listens := history.Start(ctx, history.Spec{Names: 1, Documents: true, Followers: f.southAddresses()})
			highest := version
			for n := range 9 {
				highest = put(t, q.client, "h-0", 1+n, highest)
			}
			f.waitForReplication()
			q.kill("r0")
			if err := os.RemoveAll(disk); err != nil {
				t.Fatal(err)
			}
			if err := os.Rename(old, disk); err != nil {
				t.Fatal(err)
			}
			f.restart("r0")
			q.waitServing(1)
			if breaks == "" {
				f.south.waitForStatus("south says that north went back", func(all map[string]api.Status) bool {
					for _, s := range all {
						if len(s.Replication) == 1 && strings.Contains(s.Replication[0].RejectedReason, "goes back") && s.Replication[0].SeenRevision >= highest {
							return true
						}
					}
					return false
				})
				if d, err := f.south.client.Document(ctx, "h-0", 0, true); err != nil || d.Revision != highest {
					t.Errorf("south has %+v, %v; %d was seen", d, err, highest)
				}
				for n := 20; version <= highest; n++ {
					version = put(t, q.client, "h-0", n, version)
				}
			}
			f.waitForReplication()
			stop()
			found, n := listens.EndDocuments()
			back := 0
			for _, b := range found { // who put what is not judged here: an owner of before gives its versions twice
				if b.Rule == "monotonic" {
					back++
				}
			}
			if (back > 0) != (breaks != "") || n.Messages == 0 {
				t.Errorf("%d times an older version was told in south; %+v", back, n)
			}
		})
	}
}
