package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"mosslead/internal/registry"
	"mosslead/internal/registry/api"
	"mosslead/internal/registry/client"
)

const (
	registryEnv = "MOSSLEAD_REGISTRY"
	devAddress  = "127.0.0.1:7600"
	callTimeout = 10 * time.Second
)

func (a *app) registry() *cobra.Command {
	c := group(&cobra.Command{
		Use:   "registry",
		Short: "Run the list service, and look after its replicas",
		Example: "  mosslead registry serve --dev\n  mosslead registry serve --config registry.toml\n" +
			"  mosslead registry status --registry 10.0.0.1:7600,10.0.0.2:7600,10.0.0.3:7600",
	})
	replicas := registryFlag(c)
	c.AddCommand(a.registryServe(), a.registryStatus(replicas), a.registryAdd(replicas), a.registryRemove(replicas), a.registryBackup(replicas),
		a.registryRestore(replicas), a.registryCheck(), a.registryOverrule(replicas))
	return c
}

// registryFlag adds the flag for the addresses of the replicas. Its default is the environment variable, or else devAddress.
func registryFlag(c *cobra.Command) *string {
	replicas := os.Getenv(registryEnv)
	if replicas == "" {
		replicas = devAddress
	}
	return c.PersistentFlags().String("registry", replicas, "replicas of the list service, host:port,host:port ("+registryEnv+")")
}

// newClient returns a client of the replicas, given as host:port,host:port.
func newClient(replicas string) (*client.Client, error) {
	addresses, err := client.Addresses(replicas)
	if err != nil {
		return nil, usageError{fmt.Errorf("--registry: %w", err)}
	}
	return client.New(addresses), nil
}

// withClient calls f with a client of the replicas, with a timeout of callTimeout.
func withClient(c *cobra.Command, replicas string, f func(context.Context, *client.Client) error) error {
	s, err := newClient(replicas)
	if err != nil {
		return err
	}
	defer s.Close()
	ctx, cancel := context.WithTimeout(c.Context(), callTimeout)
	defer cancel()
	err = f(ctx, s)
	if api.IsCode(err, api.CodeBadRequest) {
		return usageError{err}
	}
	return err
}

// outputFlag adds the flag for the output format.
func outputFlag(c *cobra.Command) *string {
	return c.Flags().StringP("output", "o", "table", "table or json")
}

// print writes x as JSON if format is json, or calls table with a writer that aligns columns if it is table.
func (a *app) print(format string, x any, table func(w io.Writer)) error {
	switch format {
	case "json":
		enc := json.NewEncoder(a.stdout)
		enc.SetIndent("", " ")
		return enc.Encode(x)
	case "table":
		w := tabwriter.NewWriter(a.stdout, 0, 4, 2, ' ', 0)
		table(w)
		return w.Flush()
	}
	return usageError{fmt.Errorf("--output: table or json, not %q", format)}
}

func (a *app) registryServe() *cobra.Command {
	var path, listen string
	var dev bool
	c := &cobra.Command{
		Use:     "serve",
		Short:   "Run one replica, until SIGTERM",
		Example: "  mosslead registry serve --dev\n  mosslead registry serve --config registry.toml",
		Args:    checkArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			var conf *registry.Config
			switch {
			case dev == (path != ""):
				return usageError{errors.New("registry serve: --config FILE, or --dev")}
			case dev:
				conf = registry.Dev(listen)
			default:
				var err error
				if conf, err = registry.LoadConfig(path); err != nil {
					return usageError{err}
				}
			}
			node, err := registry.Open(conf, a.newServerLogger())
			if err != nil {
				return err
			}
			return node.Run(c.Context())
		},
	}
	c.Flags().StringVar(&path, "config", "", "configuration of the replica")
	c.Flags().BoolVar(&dev, "dev", false, "one replica in memory: for a try")
	c.Flags().StringVar(&listen, "listen", devAddress, "with --dev: where it answers")
	return c
}

func (a *app) registryStatus(replicas *string) *cobra.Command {
	c := &cobra.Command{
		Use:     "status",
		Short:   "Show each replica, who leads, and whether the service doubts itself",
		Example: "  mosslead registry status\n  mosslead registry status -o json | jq .",
		Args:    checkArgs(cobra.NoArgs),
	}
	format := outputFlag(c)
	c.RunE = func(c *cobra.Command, _ []string) error {
		return withClient(c, *replicas, func(ctx context.Context, service *client.Client) error {
			statuses, errs := service.Status(ctx)
			failures := map[string]string{}
			for address, err := range errs {
				failures[address] = err.Error()
			}
			err := a.print(*format, map[string]any{"replicas": statuses, "failed": failures}, func(w io.Writer) {
				_, _ = fmt.Fprintln(w, "address\tname\tstate\tleader\tepoch\tversion\tentries\twatches\told\tstarts")
				for _, address := range slices.Sorted(maps.Keys(statuses)) {
					s := statuses[address]
					_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\t%d\n", address, s.Replica.Name, s.State, s.Leader, s.Term, s.Revision,
						s.Endpoints, s.Watchers, time.Duration(s.StalenessMs)*time.Millisecond, s.Replica.StartCount)
				}
				for _, address := range slices.Sorted(maps.Keys(statuses)) {
					if s := statuses[address]; s.Preserving {
						_, _ = fmt.Fprintf(w, "\n%d servers fell silent at once; the service suspects itself and keeps them: %s\n", len(s.ExpiredLeases), strings.Join(s.ExpiredLeases, " "))
						_, _ = fmt.Fprintln(w, "If they are gone: mosslead registry overrule")
					}
				}
				for _, address := range slices.Sorted(maps.Keys(statuses)) {
					replicationTable(w, statuses[address])
				}
				for _, address := range slices.Sorted(maps.Keys(failures)) {
					_, _ = fmt.Fprintf(w, "\n%s: %s\n", address, failures[address])
				}
			})
			if err == nil && len(statuses) == 0 {
				return errors.New("no replica answers")
			}
			return err
		})
	}
	return c
}

// replicationTable writes up to which version the region of a replica has replicated other regions. Only the leader's status has
// these versions.
func replicationTable(w io.Writer, s api.Status) {
	if len(s.Replication) == 0 {
		return
	}
	_, _ = fmt.Fprintf(w, "\nregion %s follows\tversion\tbegun\theard\tentries\tset aside\n", s.Region)
	for _, f := range s.Replication {
		heard := "not yet"
		if f.AgeMs >= 0 {
			heard = (time.Duration(f.AgeMs) * time.Millisecond).String() + " ago"
		}
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%d\t%s\n", f.Region, f.Revision, f.SeenRevision, heard, f.Endpoints, oneLine(f.RejectedReason))
	}
}

func (a *app) registryAdd(replicas *string) *cobra.Command {
	var replica api.Replica
	c := &cobra.Command{
		Use:     "add NAME",
		Short:   "Take a replica in; it is to run with join = true",
		Example: "  mosslead registry add r4 --raft 10.0.0.4:7601 --api 10.0.0.4:7600",
		Args:    checkArgs(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			replica.Name = args[0]
			return withClient(c, *replicas, func(ctx context.Context, service *client.Client) error { return service.Add(ctx, replica) })
		},
	}
	c.Flags().StringVar(&replica.Raft, "raft", "", "host:port for other replicas")
	c.Flags().StringVar(&replica.API, "api", "", "host:port where it answers")
	return c
}

func (a *app) registryRemove(replicas *string) *cobra.Command {
	return &cobra.Command{
		Use:     "remove NAME",
		Short:   "Take a replica out",
		Example: "  mosslead registry remove r4",
		Args:    checkArgs(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			return withClient(c, *replicas, func(ctx context.Context, service *client.Client) error { return service.Remove(ctx, args[0]) })
		},
	}
}

func (a *app) registryOverrule(replicas *string) *cobra.Command {
	return &cobra.Command{
		Use:     "overrule",
		Short:   "End the entries of silent servers that the service keeps since too many fell silent at once",
		Example: "  mosslead registry overrule",
		Args:    checkArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			return withClient(c, *replicas, func(ctx context.Context, service *client.Client) error {
				ended, err := service.Overrule(ctx)
				for _, name := range ended {
					_, _ = fmt.Fprintln(a.stdout, name)
				}
				return err
			})
		},
	}
}

func (a *app) registryBackup(replicas *string) *cobra.Command {
	return &cobra.Command{
		Use:     "backup FILE",
		Short:   "Write all of the list to a file",
		Example: "  mosslead registry backup list-$(date +%F).json",
		Args:    checkArgs(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			return withClient(c, *replicas, func(ctx context.Context, service *client.Client) error {
				text, err := service.Backup(ctx)
				if err != nil {
					return err
				}
				return registry.WriteBackup(args[0], text)
			})
		},
	}
}

// readBackup reads and checks a backup, and returns it with its number of records.
func readBackup(path string) ([]byte, int, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, 0, usageError{err}
	}
	s, err := registry.CheckBackup(text)
	if err != nil {
		return nil, 0, fmt.Errorf("%s: %w", path, err)
	}
	return text, len(s.Records), nil
}

func (a *app) registryRestore(replicas *string) *cobra.Command {
	return &cobra.Command{
		Use:     "restore FILE",
		Short:   "Put a backup in place of the list; versions go on, and all watchers get the whole list",
		Example: "  mosslead registry restore list-2026-11-30.json",
		Args:    checkArgs(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			text, _, err := readBackup(args[0])
			if err != nil {
				return err
			}
			return withClient(c, *replicas, func(ctx context.Context, service *client.Client) error { return service.Restore(ctx, text) })
		},
	}
}

func (a *app) registryCheck() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Tell whether a backup is whole",
		Example: "  mosslead registry check list-2026-11-30.json",
		Args:    checkArgs(cobra.ExactArgs(1)),
		RunE: func(_ *cobra.Command, args []string) error {
			_, records, err := readBackup(args[0])
			if err == nil {
				_, _ = fmt.Fprintf(a.stdout, "whole: %d records\n", records)
			}
			return err
		},
	}
}
