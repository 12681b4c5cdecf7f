package cli

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"mosslead/internal/durable"
	"mosslead/internal/statestore"
)

func (a *app) state() *cobra.Command {
	c := group(&cobra.Command{
		Use:     "state",
		Short:   "Look at what a sidecar keeps on disk, and whether it is whole",
		Example: "  mosslead state show /var/lib/mosslead-sidecar\n  mosslead state check /var/lib/mosslead-sidecar",
	})
	c.AddCommand(a.stateShow(), a.stateCheck(), a.stateRepair())
	return c
}

// summarize reads a state directory. Its error is a usageError if dir is not an existing directory.
func summarize(dir string) (statestore.Summary, []durable.Corruption, error) {
	if info, err := os.Stat(dir); err != nil {
		return statestore.Summary{}, nil, usageError{err}
	} else if !info.IsDir() {
		return statestore.Summary{}, nil, usageError{fmt.Errorf("%s is not a directory", dir)}
	}
	return statestore.Summarize(dir, time.Now())
}

func (a *app) stateShow() *cobra.Command {
	c := &cobra.Command{
		Use:     "show DIR",
		Short:   "Show what is kept: bans, the list, what was learnt, the service's settings, how the last process ended",
		Example: "  mosslead state show /var/lib/mosslead-sidecar\n  mosslead state show DIR -o json | jq .bans",
		Args:    checkArgs(cobra.ExactArgs(1)),
	}
	format := outputFlag(c)
	c.RunE = func(_ *cobra.Command, args []string) error {
		s, _, err := summarize(args[0])
		if err != nil {
			return err
		}
		return a.print(*format, s, func(w io.Writer) { stateTable(w, s) })
	}
	return c
}

// stateTable writes a summary as text columns.
func stateTable(w io.Writer, s statestore.Summary) {
	_, _ = fmt.Fprintf(w, "sidecar\t%s\nlast start\t%s\nits end\t%s\nearly ends in a row\t%d\n", s.Sidecar, s.Started, s.Ended, s.EarlyExits)
	_, _ = fmt.Fprintf(w, "list\t%d upstreams, version %d of %s, %s old\n", s.Upstreams, s.ListIndex, s.ListSource, formatAge(s.ListAgeS))
	_, _ = fmt.Fprintf(w, "learnt\tof %d upstreams, %s old\n", s.SnapshotEndpoints, formatAge(s.SnapshotAgeS))
	if stored := s.Settings; stored != nil {
		suffix := map[bool]string{true: ", deleted: those of the file are in force"}[stored.Deleted]
		_, _ = fmt.Fprintf(w, "settings\tof %s, version %d of region %q%s, %s old\n", stored.Service, stored.Version, stored.Region, suffix, formatAge(stored.AgeS))
	}
	_, _ = fmt.Fprintf(w, "left out\t%s\n", strings.Join(s.Ejected, " "))
	if stored := s.Settings; stored != nil {
		what := fmt.Sprintf("version %d", stored.Version)
		switch {
		case stored.Version == 0:
			what = "none in force yet"
		case stored.Deleted:
			what += ", a deletion: those of the file are in force"
		}
		if stored.Region != "" {
			what += " of " + stored.Region
		}
		_, _ = fmt.Fprintf(w, "settings\tof %s: %s, %s old\n", stored.Service, what, formatAge(stored.AgeS))
	}
	var bans []string
	for id, since := range s.Bans {
		bans = append(bans, fmt.Sprintf("%s since %s", id, since))
	}
	slices.Sort(bans)
	_, _ = fmt.Fprintf(w, "bans\t%s\n", strings.Join(bans, "\n\t"))
	for _, text := range slices.Concat(s.Notes, s.Corruptions) {
		_, _ = fmt.Fprintf(w, "note\t%s\n", text)
	}
	for _, name := range s.Quarantined {
		_, _ = fmt.Fprintf(w, "in quarantine\t%s\n", name)
	}
}

// formatAge returns an age in seconds as text, rounded to seconds.
func formatAge(seconds float64) string {
	return time.Duration(seconds * float64(time.Second)).Round(time.Second).String()
}

func (a *app) stateCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check DIR",
		Short: "Check that all that is kept is whole; never writes, works beside a running sidecar",
		Long: "Prints a line for each damage, and exits with 1 where there is any. A write torn by a crash is said and is no damage:\n" +
			"nothing that was confirmed is lost by it.",
		Example: "  mosslead state check /var/lib/mosslead-sidecar",
		Args:    checkArgs(cobra.ExactArgs(1)),
		RunE: func(_ *cobra.Command, args []string) error {
			_, corruptions, err := summarize(args[0])
			n := 0
			for _, d := range corruptions {
				_, _ = fmt.Fprintln(a.stdout, d)
				if !d.Torn {
					n++
				}
			}
			if err != nil {
				return err
			}
			if n > 0 {
				return fmt.Errorf("%s: %d damages", args[0], n)
			}
			return nil
		},
	}
}

func (a *app) stateRepair() *cobra.Command {
	return &cobra.Command{
		Use:     "repair DIR",
		Short:   "Keep what is whole, put the rest into quarantine, and name it",
		Long:    "Takes the directory's lock, and so refuses while a sidecar writes there.",
		Example: "  mosslead state repair /var/lib/mosslead-sidecar",
		Args:    checkArgs(cobra.ExactArgs(1)),
		RunE: func(_ *cobra.Command, args []string) error {
			if _, _, err := summarize(args[0]); err != nil {
				return err
			}
			corruptions, err := statestore.Repair(args[0], time.Now())
			if errors.Is(err, durable.ErrLocked) {
				return fmt.Errorf("%s: a sidecar writes there; stop it first, or let it put damaged files aside at its next start", args[0])
			}
			for _, d := range corruptions {
				_, _ = fmt.Fprintf(a.stdout, "dropped %s\n", d)
			}
			return err
		},
	}
}
