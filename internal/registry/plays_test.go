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

// fleet is two regions of replicas that run as processes. South replicates north over links, and north replicates south directly.
type fleet struct {
	t            *testing.T
	north, south *quorum
	links        []*relay.Link // from south to each of north's replicas
}

func newFleet(t *testing.T, north, south int, breaks string) *fleet {
	t.Helper()
	f := &fleet{t: t, north: configureQuorum(t, north), south: configureQuorum(t, south)}
	addresses := func(q *quorum) (all []string) {
		for _, p := range q.peers {
			all = append(all, p["api"].(string))
		}
		return all
	}
	var linkAddresses []string
	for i, target := range addresses(f.north) {
		l, err := relay.New("south", fmt.Sprint("north ", i), unusedAddress(t), target, nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(l.Close)
		f.links, linkAddresses = append(f.links, l), append(linkAddresses, l.Address())
	}
	follow := func(region string, addresses []string) []map[string]any {
		return []map[string]any{{"region": region, "api": addresses}}
	}
	for i := range north {
		f.north.start(fmt.Sprint("r", i), f.northConfig(follow("south", addresses(f.south))))
	}
	for i := range south {
		config := map[string]any{"region": "south", "follow": follow("north", linkAddresses)}
		if breaks != "" {
			config["breaks"] = breaks
		}
		f.south.start(fmt.Sprint("r", i), config)
	}
	f.north.waitServing(north)
	f.south.waitServing(south)
	return f
}

func (f *fleet) northConfig(follow []map[string]any) map[string]any {
	return map[string]any{"region": "north", "follow": follow}
}

func (f *fleet) southAddresses() (addresses []string) {
	for _, p := range f.south.peers {
		addresses = append(addresses, p["api"].(string))
	}
	return addresses
}

// restart starts a replica of north again.
func (f *fleet) restart(name string) {
	f.t.Helper()
	f.north.start(name, f.northConfig([]map[string]any{{"region": "south", "api": f.southAddresses()}}))
}

func (f *fleet) setLinks(state relay.State) {
	f.t.Helper()
	for _, l := range f.links {
		if err := l.Set(state); err != nil {
			f.t.Fatal(err)
		}
	}
}

// startHistory starts writing documents in north, and watching them in both regions.
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
	started := time.Now()
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
			return time.Since(started)
		}
		if ctx.Err() != nil {
			f.t.Fatalf("timed out waiting for replication: south has %+v, want %+v as in north", south.Documents, north.Documents)
		}
		time.Sleep(10 * time.Millisecond) // between two reads
	}
}

// injectFaults injects two faults, drawn from rng, one after the other, and returns their descriptions. All faults have ended when it
// returns.
func (f *fleet) injectFaults(rng *rand.Rand) (faults []string) {
	signal := func(q *quorum, name string, s syscall.Signal) {
		if err := q.processes[name].Signal(s); err != nil {
			f.t.Fatal(err)
		}
	}
	pause := func(minMs, maxMs int) { time.Sleep(time.Duration(minMs+rng.IntN(maxMs-minMs)) * time.Millisecond) }
	for range 2 {
		pause(100, 400)
		switch rng.IntN(6) {
		case 0:
			faults = append(faults, "south cut off")
			f.setLinks(relay.State{Reset: true})
			pause(300, 1500)
			f.setLinks(relay.State{})
		case 1:
			faults = append(faults, "south hears nothing")
			f.setLinks(relay.State{SilentBack: true})
			pause(300, 3500)
			f.setLinks(relay.State{})
		case 2:
			faults = append(faults, "slow and lossy")
			f.setLinks(relay.State{Delay: 100 * time.Millisecond, Loss: 0.05, Chop: 512})
			pause(300, 1500)
			f.setLinks(relay.State{})
		case 3:
			faults = append(faults, "north's leader killed")
			name := f.north.waitServing(len(f.north.peers))
			f.north.kill(name)
			pause(50, 800)
			f.restart(name)
			f.north.waitServing(len(f.north.peers))
		case 4:
			faults = append(faults, "north's leader stopped")
			name := f.north.waitServing(len(f.north.peers))
			signal(f.north, name, syscall.SIGSTOP)
			pause(300, 2000)
			signal(f.north, name, syscall.SIGCONT)
		case 5:
			faults = append(faults, "south's leader stopped")
			name := f.south.waitServing(len(f.south.peers))
			signal(f.south, name, syscall.SIGSTOP)
			pause(300, 2000)
			signal(f.south, name, syscall.SIGCONT)
		}
	}
	pause(100, 300)
	return faults
}

// Checks histories of documents in a region of three replicas that another region of three replicates, while links fail and replicas
// are killed or stopped: calls to the owning region are linearizable, no replica serves an older version after a newer one, or a
// version that nobody put, and the other region catches up soon. More histories: go test -run TestHistoriesOfDocuments -plays 40 -timeout 30m.
func TestHistoriesOfDocuments(t *testing.T) {
	for i := range max(1, *historyCount) {
		seed := *historySeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			f := newFleet(t, 3, 3, "")
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			run := f.startHistory(ctx, seed)
			faults := f.injectFaults(rand.New(rand.NewPCG(seed, 28)))
			stop()
			took := f.waitForReplication()
			violations, n := run.EndDocuments()
			t.Logf("%v: %d calls, %d without an answer, %d messages, %d watches; caught up in %v", faults, n.Calls, n.Unknown, n.Messages, n.Restarts, took.Round(time.Millisecond))
			if took > 7*time.Second {
				t.Errorf("south caught up %v after the last change, want at most %v", took, 7*time.Second)
			}
			if n.Calls < 20 || n.Messages < 20 {
				t.Errorf("got %+v, want at least 20 calls and 20 messages", n)
			}
			for _, violation := range violations {
				t.Errorf("violation of rule %s at %v: %s", violation.Rule, violation.At.Round(time.Millisecond), violation.Text)
			}
		})
	}
}

// Restores the owner of a document from an old copy of its disk. The follower must keep the version that it has seen, report the
// rollback, and continue once the owner's version is higher. With the fault follow-back, the check has to detect older versions.
func TestAnOwnerOfBefore(t *testing.T) {
	for _, breaks := range []string{"", "follow-back"} {
		t.Run("breaks "+breaks, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 1, 1, breaks)
			owner, copied := f.north, filepath.Join(f.north.dir, "old")
			disk := filepath.Join(owner.dir, "r0")
			version := put(t, owner.client, "h-0", 0, 0)
			f.waitForReplication()
			owner.kill("r0")
			if err := os.CopyFS(copied, os.DirFS(disk)); err != nil {
				t.Fatal(err)
			}
			f.restart("r0")
			owner.waitServing(1)

			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			watching := history.Start(ctx, history.Spec{Names: 1, Documents: true, Followers: f.southAddresses()})
			highest := version
			for n := range 9 {
				highest = put(t, owner.client, "h-0", 1+n, highest)
			}
			f.waitForReplication()
			owner.kill("r0")
			if err := os.RemoveAll(disk); err != nil {
				t.Fatal(err)
			}
			if err := os.Rename(copied, disk); err != nil {
				t.Fatal(err)
			}
			f.restart("r0")
			owner.waitServing(1)
			if breaks == "" {
				f.south.waitForStatus("south reports that the version of north goes back", func(all map[string]api.Status) bool {
					for _, s := range all {
						if len(s.Replication) == 1 && strings.Contains(s.Replication[0].RejectedReason, "goes back") && s.Replication[0].SeenRevision >= highest {
							return true
						}
					}
					return false
				})
				if d, err := f.south.client.Document(ctx, "h-0", 0, true); err != nil || d.Revision != highest {
					t.Errorf("south: got %+v, error %v, want version %d, which it has seen", d, err, highest)
				}
				for n := 20; version <= highest; n++ {
					version = put(t, owner.client, "h-0", n, version)
				}
			}
			f.waitForReplication()
			stop()
			violations, n := watching.EndDocuments()
			rollbacks := 0
			for _, violation := range violations { // other rules are not checked: a restored owner assigns the same versions twice
				if violation.Rule == "monotonic" {
					rollbacks++
				}
			}
			if (rollbacks > 0) != (breaks != "") || n.Messages == 0 {
				t.Errorf("with fault %q: got %d rollbacks in south, and %+v; want messages, and rollbacks only with a fault", breaks, rollbacks, n)
			}
		})
	}
}
