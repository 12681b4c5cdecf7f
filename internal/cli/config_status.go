package cli

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"mosslead/internal/registry/api"
	"mosslead/internal/registry/client"
)

// maxListedSidecars is how many of those in whom a document is not in force a table names; -o json has as many as the service names.
const maxListedSidecars = 20

// regionStatus is what one region says of the settings at its own sidecars.
type regionStatus struct {
	Region   string        `json:"region"`
	Rollouts []api.Rollout `json:"rollouts"`
	Error    string        `json:"failed,omitempty"` // why it says nothing
}

func (a *app) configStatus(at *string) *cobra.Command {
	var others []string
	c := &cobra.Command{
		Use:   "status [SERVICE]",
		Short: "Show at how many sidecars settings are in force, and who they are not in force at, and why",
		Long: "Each region counts the sidecars that speak to it: in force; behind, with an older version or none; rejected, with the one before\n" +
			"still in force; unheard, heard once and not for a minute. Other regions are asked too where they are named with --region. Exits\n" +
			"with 1 where one of them does not answer.",
		Example: "  mosslead config status\n  mosslead config status orders --registry 10.1.0.1:7600 --region north=10.2.0.1:7600,10.2.0.2:7600 -o json",
		Args:    checkArgs(cobra.MaximumNArgs(1)),
	}
	format := outputFlag(c)
	c.Flags().StringArrayVar(&others, "region", nil, "another region to ask, NAME=host:port,host:port; may be repeated")
	c.RunE = func(c *cobra.Command, given []string) error {
		if *format != "table" && *format != "json" {
			return usageError{fmt.Errorf("--output: table or json, not %q", *format)}
		}
		all, err := parseRegions(*at, others)
		if err != nil {
			return err
		}
		said := a.readRollouts(c, all)
		found := len(given) == 0
		var silent []string
		for i := range said {
			s := &said[i]
			if s.Error != "" {
				silent = append(silent, s.Region)
			}
			if len(given) == 1 {
				s.Rollouts = slices.DeleteFunc(s.Rollouts, func(r api.Rollout) bool { return r.Service != given[0] })
				found = found || len(s.Rollouts) > 0
			}
		}
		err = a.print(*format, map[string]any{"regions": said}, func(w io.Writer) { statusTable(w, said) })
		switch {
		case err != nil:
			return err
		case len(silent) == 1 && len(said) == 1:
			return errors.New("no answer: " + said[0].Error)
		case len(silent) > 0:
			return fmt.Errorf("no answer from %s", strings.Join(silent, ", "))
		case !found:
			return api.Errorf(api.CodeNotFound, "there are no settings of %s", given[0])
		}
		return nil
	}
	return c
}

// regionClient is a region to ask.
type regionClient struct {
	name    string // empty: whichever answers
	service *client.Client
}

// parseRegions are the one at the replicas at, and the others, each NAME=host:port,host:port.
func parseRegions(at string, others []string) ([]regionClient, error) {
	names, addresses := []string{""}, []string{at}
	for _, text := range others {
		name, list, ok := strings.Cut(text, "=")
		switch {
		case !ok || name == "" || len(name) > api.MaxLabel:
			return nil, usageError{fmt.Errorf("--region: NAME=host:port,host:port, not %q", text)}
		case slices.Contains(names, name):
			return nil, usageError{fmt.Errorf("--region: %s is there twice", name)}
		}
		names, addresses = append(names, name), append(addresses, list)
	}
	var all []regionClient
	for i, name := range names {
		list, err := client.Addresses(addresses[i])
		if err != nil && name == "" {
			return nil, usageError{fmt.Errorf("--registry: %w", err)}
		} else if err != nil {
			return nil, usageError{fmt.Errorf("--region %s: %w", name, err)}
		}
		all = append(all, regionClient{name, client.New(list)})
	}
	return all, nil
}

// readRollouts asks all regions at once: one that is cut off must not take the time of the others.
func (a *app) readRollouts(c *cobra.Command, all []regionClient) []regionStatus {
	ctx, cancel := context.WithTimeout(c.Context(), callTimeout)
	defer cancel()
	said := make([]regionStatus, len(all))
	var asking sync.WaitGroup
	for i, r := range all {
		asking.Go(func() {
			defer r.service.Close()
			answer, err := r.service.Rollouts(ctx)
			switch {
			case err != nil:
				said[i] = regionStatus{Region: cmp.Or(r.name, "the region at --registry"), Error: err.Error()}
			case r.name != "" && answer.Region != r.name:
				said[i] = regionStatus{Region: r.name, Error: fmt.Sprintf("region %q answers there", answer.Region)}
			default:
				said[i] = regionStatus{Region: answer.Region, Rollouts: answer.Rollouts}
			}
		})
	}
	asking.Wait()
	return said
}

func statusTable(w io.Writer, said []regionStatus) {
	_, _ = fmt.Fprintln(w, "service\towner\tversion\tsidecars of\tin force\tbehind\trejected\tunheard")
	for _, s := range said {
		for _, r := range s.Rollouts {
			version := fmt.Sprint(r.Revision)
			if r.Deleted {
				version += " deleted"
			}
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\n", r.Service, cmp.Or(r.Region, "-"), version, cmp.Or(s.Region, "-"), r.InForce, r.Behind,
				r.Rejected, r.Silent)
		}
	}
	for _, s := range said {
		for _, r := range s.Rollouts {
			writeNotInForce(w, s.Region, r)
		}
	}
	for _, s := range said {
		if s.Error != "" {
			_, _ = fmt.Fprintf(w, "\n%s: %s\n", s.Region, s.Error)
		}
	}
}

// writeNotInForce names those in whom a document is not in force, and why as far as they say.
func writeNotInForce(w io.Writer, region string, r api.Rollout) {
	if len(r.NotInForce) == 0 {
		return
	}
	where := ""
	if region != "" {
		where = " in " + region
	}
	_, _ = fmt.Fprintf(w, "\n%s version %d is not in force%s at:\n", r.Service, r.Revision, where)
	for _, x := range r.NotInForce[:min(len(r.NotInForce), maxListedSidecars)] {
		has := "its file's settings"
		if x.Revision > 0 {
			has = fmt.Sprint("version ", x.Revision)
		}
		if x.Revision > 0 && x.Region != r.Region {
			has += " of " + cmp.Or(x.Region, "no region")
		}
		why := ""
		switch {
		case x.SilentMs > 0:
			why = fmt.Sprintf("not heard for %s", (time.Duration(x.SilentMs) * time.Millisecond).Round(time.Second))
		case x.RejectedRevision > 0:
			why = fmt.Sprintf("rejected %d: %s", x.RejectedRevision, x.Reason)
		case x.Reason != "":
			why = x.Reason
		}
		_, _ = fmt.Fprintf(w, "  %s\thas %s\t%s\n", x.Node, has, oneLine(why))
	}
	if left := r.Behind + r.Rejected + r.Silent - min(len(r.NotInForce), maxListedSidecars); left > 0 {
		_, _ = fmt.Fprintf(w, "  and %d more\n", left)
	}
}

// oneLine keeps what a sidecar says from looking like more than one row.
func oneLine(text string) string {
	return strings.NewReplacer("\n", " ", "\t", " ", "\r", " ").Replace(text)
}
