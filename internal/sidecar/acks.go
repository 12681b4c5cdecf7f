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
	ackJitter   = time.Second      // after a change: a region's sidecars all hear of it at once
	ackTimeout  = 10 * time.Second // of one word, with the client's own tries; then the next turn comes
	ackSockets  = 2                // descriptors: its connection, and another replica's in its place
)

// acknowledge tells the list service which settings are in force here, until ctx ends. source is where it is.
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

// acknowledgeLoop says it after each change and now and then. One word is on its way at the most; what changes meanwhile is in the next.
func (s *settingsFollower) acknowledgeLoop(ctx context.Context, say func(context.Context, api.Ack) error) {
	failing := false
	t := time.NewTimer(rand.N(ackInterval)) // a fleet that starts at once does not speak at once
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
		err := say(ackCtx, s.ack())
		cancel()
		if ctx.Err() != nil || (err != nil) == failing {
			continue
		}
		if failing = err != nil; failing {
			logWarning(ofSettings, "settings acknowledgement failed, settings stay in force", err)
		} else {
			logAttrs(slog.LevelInfo, ofSettings, "settings acknowledged again")
		}
	}
}

// cutText bounds a text to so many bytes of whole characters.
func cutText(text string, bound int) string {
	text = strings.ToValidUTF8(text, "?")
	if len(text) > bound {
		text = strings.ToValidUTF8(text[:bound], "")
	}
	return text
}
