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
	ackInterval = 20 * time.Second // well below api.HeardMs, even if one acknowledgement is dropped
	ackJitter   = time.Second      // longest random delay of the acknowledgement of a change, since a change reaches all sidecars of a region at once
	ackTimeout  = 10 * time.Second // time-out of one acknowledgement, including the client's retries
	ackSockets  = 2                // file descriptors that acknowledgements use: one for the connection, and one for a connection that replaces it
)

// acknowledge reports to the list service which settings are in force here, until ctx ends. source returns the present
// addresses of the list service. A nil settingsFollower reports nothing.
func (s *settingsFollower) acknowledge(ctx context.Context, source func() string) {
	if s == nil {
		return
	}
	var c *client.Client
	clientAddresses := ""
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	s.acknowledgeLoop(ctx, func(ctx context.Context, ack api.Ack) error {
		if addresses := source(); c == nil || addresses != clientAddresses {
			replicas, err := client.Addresses(addresses)
			if err != nil { // can't happen, since the configuration was checked
				return err
			}
			if c != nil {
				c.Close()
			}
			c, clientAddresses = client.New(replicas), addresses
		}
		return c.Acknowledge(ctx, []api.Ack{ack})
	})
}

// acknowledgeLoop sends an acknowledgement after each change and every ackInterval. Only one is in flight at a time; the
// next one includes the changes made meanwhile.
func (s *settingsFollower) acknowledgeLoop(ctx context.Context, send func(context.Context, api.Ack) error) {
	failing := false
	timer := time.NewTimer(rand.N(ackInterval)) // spreads the calls of a fleet that starts at once
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.changed:
			timer.Reset(rand.N(ackJitter))
			continue
		case <-timer.C:
		}
		timer.Reset(ackInterval*9/10 + rand.N(ackInterval/5))
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

// cutText cuts a text to maxBytes bytes or fewer, without splitting a character.
func cutText(text string, maxBytes int) string {
	text = strings.ToValidUTF8(text, "?")
	if len(text) > maxBytes {
		text = strings.ToValidUTF8(text[:maxBytes], "")
	}
	return text
}
