package loadtest

import (
	"context"
	"fmt"

	"mosslead/internal/lab/loopback"
	"mosslead/internal/lab/proc"
	"mosslead/internal/registry/api"
	"mosslead/internal/registry/client"
)

// Bed is a list service that serves, for a measure.
type Bed struct {
	At       []string
	Client   *client.Client
	Children []*proc.Child // in the order of At
}

// Close ends it.
func (b *Bed) Close() {
	b.Client.Close()
	for _, child := range b.Children {
		_ = child.Kill() // whatever came of it
	}
}

// bed is one of replicas that were started, once they serve. Nothing of it is left after an error.
func bed(ctx context.Context, at []string, children []*proc.Child, err error) (*Bed, error) {
	b := &Bed{At: at, Client: client.New(at), Children: children}
	if err == nil {
		err = Await(ctx, b.Client, len(at))
	}
	if err != nil {
		b.Close()
		return nil, err
	}
	return b, nil
}

// Alone starts one replica, in memory.
func (r Runner) Alone(ctx context.Context) (*Bed, error) {
	at, err := loopback.Address()
	if err != nil {
		return nil, err
	}
	child, err := r.Start("dev", "--dev", "--listen", at)
	if err != nil {
		return nil, err
	}
	return bed(ctx, []string{at}, []*proc.Child{child}, nil)
}

// quorumBed starts replicas that form a quorum.
func (r Runner) quorumBed(ctx context.Context, n int) (*Bed, error) {
	at, children, err := r.Quorum(n)
	if len(at) == 0 {
		return nil, err
	}
	return bed(ctx, at, children, err)
}

// fill registers so many, and gives the version after the last.
func (b *Bed) fill(ctx context.Context, n int, entry func(i int) api.Registration) (version int64, err error) {
	for i := range n {
		if version, err = b.Client.Register(ctx, fmt.Sprint("u", i), entry(i)); err != nil {
			return 0, fmt.Errorf("entry %d: %w", i, err)
		}
	}
	return version, nil
}

// filledBed is one replica in memory with entries, and the version that it is at.
type filledBed struct {
	*Bed
	version int64
}

// filled starts a replica and fills it. Nothing of it is left after an error.
func (r Runner) filled(ctx context.Context, entries int) (*filledBed, error) {
	b, err := r.Alone(ctx)
	if err != nil {
		return nil, err
	}
	version, err := b.fill(ctx, entries, registration)
	if err != nil {
		b.Close()
		return nil, err
	}
	return &filledBed{b, version}, nil
}
