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

// maxListedSidecars is the maximum number of sidecars without a document in force that a table lists; -o json has all that the service lists.
const maxListedSidecars = 20

// regionStatus is the response of one region about the settings at its own sidecars.
type regionStatus struct {
	Region   string        `json:"region"`
	Rollouts []api.Rollout `json:"rollouts"`
	Error    string        `json:"failed,omitempty"` // why there is no response
}

func (a *app) configStatus(replicas *string) *cobra.Command {
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
	c.RunE = func(c *cobra.Command, args []string) error {
		if *format != "table" && *format != "json" {
			return usageError{fmt.Errorf("--output: table or json, not %q", *format)}
		}
		clients, err := parseRegions(*replicas, others)
		if err != nil {
			return err
		}
		statuses := a.readRollouts(c, clients)
		found := len(args) == 0
		var failedRegions []string
		for i := range statuses {
			s := &statuses[i]
			if s.Error != "" {
				failedRegions = append(failedRegions, s.Region)
			}
			if len(args) == 1 {
				s.Rollouts = slices.DeleteFunc(s.Rollouts, func(r api.Rollout) bool { return r.Service != args[0] })
				found = found || len(s.Rollouts) > 0
			}
		}
		err = a.print(*format, map[string]any{"regions": statuses}, func(w io.Writer) { statusTable(w, statuses) })
		switch {
		case err != nil:
			return err
		case len(failedRegions) == 1 && len(statuses) == 1:
			return errors.New("no answer: " + statuses[0].Error)
		case len(failedRegions) > 0:
			return fmt.Errorf("no answer from %s", strings.Join(failedRegions, ", "))
		case !found:
			return api.Errorf(api.CodeNotFound, "there are no settings of %s", args[0])
		}
		return nil
	}
	return c
}

// regionClient is a client of the list service of a region.
type regionClient struct {
	name    string // expected name of the region; empty if any name is accepted
	service *client.Client
}

// parseRegions returns clients of the region at replicas and of the other regions, each given as NAME=host:port,host:port.
func parseRegions(replicas string, others []string) ([]regionClient, error) {
	names, addresses := []string{""}, []string{replicas}
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
	var clients []regionClient
	for i, name := range names {
		list, err := client.Addresses(addresses[i])
		if err != nil && name == "" {
			return nil, usageError{fmt.Errorf("--registry: %w", err)}
		} else if err != nil {
			return nil, usageError{fmt.Errorf("--region %s: %w", name, err)}
		}
		clients = append(clients, regionClient{name, client.New(list)})
	}
	return clients, nil
}

// readRollouts queries all regions concurrently, so that one that can't be reached does not use up the time of the others.
func (a *app) readRollouts(c *cobra.Command, clients []regionClient) []regionStatus {
	ctx, cancel := context.WithTimeout(c.Context(), callTimeout)
	defer cancel()
	statuses := make([]regionStatus, len(clients))
	var queries sync.WaitGroup
	for i, region := range clients {
		queries.Go(func() {
			defer region.service.Close()
			answer, err := region.service.Rollouts(ctx)
			switch {
			case err != nil:
				statuses[i] = regionStatus{Region: cmp.Or(region.name, "the region at --registry"), Error: err.Error()}
			case region.name != "" && answer.Region != region.name:
				statuses[i] = regionStatus{Region: region.name, Error: fmt.Sprintf("region %q answers there", answer.Region)}
			default:
				statuses[i] = regionStatus{Region: answer.Region, Rollouts: answer.Rollouts}
			}
		})
	}
	queries.Wait()
	return statuses
}

// statusTable writes the counts of each region, the sidecars where settings are not in force, and the regions without a response.
func statusTable(w io.Writer, statuses []regionStatus) {
	_, _ = fmt.Fprintln(w, "service\towner\tversion\tsidecars of\tin force\tbehind\trejected\tunheard")
	for _, s := range statuses {
		for _, r := range s.Rollouts {
			version := fmt.Sprint(r.Revision)
			if r.Deleted {
				version += " deleted"
			}
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\n", r.Service, cmp.Or(r.Region, "-"), version, cmp.Or(s.Region, "-"), r.InForce, r.Behind,
				r.Rejected, r.Silent)
		}
	}
	for _, s := range statuses {
		for _, r := range s.Rollouts {
			writeNotInForce(w, s.Region, r)
		}
	}
	for _, s := range statuses {
		if s.Error != "" {
			_, _ = fmt.Fprintf(w, "\n%s: %s\n", s.Region, s.Error)
		}
	}
}

// writeNotInForce lists the sidecars where a document is not in force, with the reason if it is known.
func writeNotInForce(w io.Writer, region string, r api.Rollout) {
	if len(r.NotInForce) == 0 {
		return
	}
	where := ""
	if region != "" {
		where = " in " + region
	}
	_, _ = fmt.Fprintf(w, "\n%s version %d is not in force%s at:\n", r.Service, r.Revision, where)
	for _, ack := range r.NotInForce[:min(len(r.NotInForce), maxListedSidecars)] {
		inForce := "its file's settings"
		if ack.Revision > 0 {
			inForce = fmt.Sprint("version ", ack.Revision)
		}
		if ack.Revision > 0 && ack.Region != r.Region {
			inForce += " of " + cmp.Or(ack.Region, "no region")
		}
		reason := ""
		switch {
		case ack.SilentMs > 0:
			reason = fmt.Sprintf("not heard for %s", (time.Duration(ack.SilentMs) * time.Millisecond).Round(time.Second))
		case ack.RejectedRevision > 0:
			reason = fmt.Sprintf("rejected %d: %s", ack.RejectedRevision, ack.Reason)
		case ack.Reason != "":
			reason = ack.Reason
		}
		_, _ = fmt.Fprintf(w, "  %s\thas %s\t%s\n", ack.Node, inForce, oneLine(reason))
	}
	if unlisted := r.Behind + r.Rejected + r.Silent - min(len(r.NotInForce), maxListedSidecars); unlisted > 0 {
		_, _ = fmt.Fprintf(w, "  and %d more\n", unlisted)
	}
}

// oneLine replaces line breaks and tabs in text by spaces, so that text from a sidecar stays in one row and column.
func oneLine(text string) string {
	return strings.NewReplacer("\n", " ", "\t", " ", "\r", " ").Replace(text)
}
