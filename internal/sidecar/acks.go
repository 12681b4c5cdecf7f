package sidecar

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strings"
	"time"

	"mosslead/internal/registry/api"
	"mosslead/internal/registry/client"
)

const (
	ackInterval = 20 * time.Second // well within api.HeardMs, also where one is lost
	ackJitter   = time.Second      // after a change, which reaches all sidecars of a region at once
	ackTimeout  = 10 * time.Second // of one acknowledgement, with the client's retries
	ackSockets  = 2                // file descriptors: of one connection, and of the one that replaces it
)

// acknowledge reports to the list service which settings are in force here, until ctx ends. source returns the present
// addresses of the service. A nil receiver has nothing to report.
func (s *settingsFollower) acknowledge(ctx context.Context, source func() string) {
	if s == nil {
		return
	}
	var c *client.Client
	at := ""
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	s.acknowledgeLoop(ctx, func(ctx context.Context, ack api.Ack) error {
		if now := source(); c == nil || now != at {
			all, err := client.Addresses(now)
			if err != nil { // the configuration was checked
				return err
			}
			if c != nil {
				c.Close()
			}
			c, at = client.New(all), now
		}
		return c.Acknowledge(ctx, []api.Ack{ack})
	})
}

// acknowledgeLoop sends an acknowledgement after each change and every ackInterval. One is in flight at most; a change
// meanwhile is in the next.
func (s *settingsFollower) acknowledgeLoop(ctx context.Context, send func(context.Context, api.Ack) error) {
	failing := false
	t := time.NewTimer(rand.N(ackInterval)) // spreads the calls of a fleet that starts at once
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.changed:
			t.Reset(rand.N(ackJitter))
			continue
		case <-t.C:
		}
		t.Reset(ackInterval*9/10 + rand.N(ackInterval/5))
		if s.muted() {
			continue
		}
		ackCtx, cancel := context.WithTimeout(ctx, ackTimeout)
		err := send(ackCtx, s.ack())
		cancel()
		if ctx.Err() != nil || (err != nil) == failing {
			continue
		}
		if failing = err != nil; failing {
			logWarning(componentSettings, "settings acknowledgement failed, settings stay in force", err)
		} else {
			logAttrs(slog.LevelInfo, componentSettings, "settings acknowledged again")
		}
	}
}

// cutText cuts a text to at most bound bytes of whole characters.
func cutText(text string, bound int) string {
	text = strings.ToValidUTF8(text, "?")
	if len(text) > bound {
		text = strings.ToValidUTF8(text[:bound], "")
	}
	return text
}
