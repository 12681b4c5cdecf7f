package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"mosslead/internal/registry/api"
)

const (
	emptyLineEvery = 2 * time.Second
	watchSilence   = 3*emptyLineEvery + 500*time.Millisecond
	firstPatience  = 2 * time.Second // for the first line: a replica has it at hand
	maxLine        = 8 << 20
	watchEnd       = "X-Registry-End"
)

// Watcher is who follows the list. Calls come one at a time.
type Watcher struct {
	// Take takes a message in. An error means that it is of no use to the watcher, and is said; the watch goes on
	// elsewhere.
	Take func(l api.Listing) error
	// Stands is called once for each watch that was taken up, and has no news.
	Stands func()
	// Says is told why a watch ended, or what of a list is doubted.
	Says func(at string, why error)
}

var (
	errSilent = errors.New("silent for three empty lines")
	errSlow   = errors.New("no first line in time")
	errEnded  = errors.New("the watch was ended")
)

// Watch follows the list until ctx ends. start is the list that is in use before, if any: its version is asked on from,
// unless it is 0: that of a list from elsewhere.
func (c *Client) Watch(ctx context.Context, start *api.Listing, w Watcher) {
	d := &doubt{}
	if start != nil {
		d.start(*start)
	}
	var p pace
	for ctx.Err() == nil {
		at := c.at()
		err := c.watch(ctx, at, d, w)
		if ctx.Err() != nil {
			return
		}
		w.Says(at, err)
		c.next(at)
		if !p.wait(ctx) {
			return
		}
	}
}

// watch is one watch, to its end.
func (c *Client) watch(ctx context.Context, at string, d *doubt, w Watcher) (err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer func() {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
	}()
	silence := time.AfterFunc(firstPatience, func() { cancel(errSlow) })
	defer silence.Stop()
	from := int64(-1) // the whole list
	if d.index > 0 {
		from = d.index
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/api/targets?watch=1&from=%d", at, from), nil)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("answered %s", resp.Status)
	}
	silent := time.AfterFunc(time.Hour, func() { cancel(errSilent) })
	defer silent.Stop()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 4096), maxLine)
	for first := true; lines.Scan(); first = false {
		silence.Stop()
		silent.Reset(watchSilence)
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			if first && w.Stands != nil {
				w.Stands()
			}
			continue
		}
		var l api.Listing
		if err := json.Unmarshal(line, &l); err != nil {
			return fmt.Errorf("malformed list: %w", err)
		}
		if strange := d.why(l); strange != "" {
			return c.doubted(ctx, at, d, w, l, strange)
		}
		if err := w.Take(l); err != nil {
			return err
		}
		d.take(l)
	}
	if err := lines.Err(); err != nil {
		return err
	}
	if why := resp.Trailer.Get(watchEnd); why != "" {
		return fmt.Errorf("%w: %s", errEnded, why)
	}
	return errEnded
}

// doubted lets the list in use go on, but for what binds, and reads a second time, from another replica if there is
// one. What is strange there in the same way is believed; else the second list is.
func (c *Client) doubted(ctx context.Context, at string, d *doubt, w Watcher, l api.Listing, strange string) error {
	w.Says(at, fmt.Errorf("list %d is doubted: %s", l.Index, strange))
	if bound, any := d.bind(l); any {
		if err := w.Take(bound); err != nil {
			return err
		}
	}
	again := c.other(at)
	var second api.Listing
	if err := c.try(ctx, again, http.MethodGet, "/api/targets", nil, &second); err != nil {
		return fmt.Errorf("reading a second time, at %s: %w", again, err)
	}
	second.Snapshot = true
	if still := d.why(second); still != "" && still != strange {
		return fmt.Errorf("list %d of %s is strange in another way: %s", second.Index, again, still)
	} else if still == "" {
		strange = "another replica knows better"
	} else {
		strange = "confirmed by a second read"
	}
	if err := w.Take(second); err != nil {
		return err
	}
	d.take(second)
	return fmt.Errorf("list %d is believed: %s", second.Index, strange)
}
