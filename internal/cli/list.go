package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"mosslead/internal/registry/api"
	"mosslead/internal/registry/client"
)

func (a *app) list() *cobra.Command {
	c := group(&cobra.Command{
		Use:   "list",
		Short: "Read and change the list of upstreams",
		Example: "  mosslead list get\n  mosslead list watch -o json\n  mosslead list drain s-5be2a07c\n" +
			"  mosslead list register s-1 --address 10.0.0.18:9000 --zone a",
	})
	replicas := registryFlag(c)
	c.AddCommand(a.listGet(replicas), a.listWatch(replicas), a.listRegister(replicas), a.listSetAdminState(replicas, "drain NAME", api.AdminDrain,
		"Take nothing new at a server, whatever it says itself, until it is lifted"),
		a.listSetAdminState(replicas, "ban NAME", api.AdminBan, "Keep a server out of the list, whatever it says itself, until it is lifted"),
		a.listSetAdminState(replicas, "lift NAME", api.AdminNone, "Take an operator's drain or ban back"), a.listRemove(replicas))
	return c
}

func (a *app) listGet(replicas *string) *cobra.Command {
	var consistent bool
	c := &cobra.Command{
		Use:     "get [NAME]",
		Short:   "Show the list, or one entry",
		Example: "  mosslead list get\n  mosslead list get s-1 --consistent -o json",
		Args:    checkArgs(cobra.MaximumNArgs(1)),
	}
	format := outputFlag(c)
	c.Flags().BoolVar(&consistent, "consistent", false, "ask the leader for what is certain to be the newest")
	c.RunE = func(c *cobra.Command, args []string) error {
		return withClient(c, *replicas, func(ctx context.Context, service *client.Client) error {
			var all api.Records
			var err error
			if len(args) == 1 {
				var record api.Record
				record, err = service.Record(ctx, args[0], consistent)
				if err == nil && record.Revision == 0 {
					err = api.Errorf(api.CodeNotFound, "%s", args[0])
				}
				all.Records = []api.Record{record}
			} else {
				all, err = service.Records(ctx, consistent)
			}
			if err != nil {
				return err
			}
			return a.print(*format, all, func(w io.Writer) {
				_, _ = fmt.Fprintln(w, "name\taddress\tzone\ttype\tgroup\tstatus\tweight\tversion\tincarnation\tby hand")
				for _, r := range all.Records {
					_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%g\t%d\t%d\t%s\n", r.Name, r.Address, r.Zone, r.Machine, r.Cell, r.Status, r.Weight,
						r.Revision, r.Incarnation, r.AdminState)
				}
			})
		})
	}
	return c
}

func (a *app) listWatch(replicas *string) *cobra.Command {
	c := &cobra.Command{
		Use:     "watch",
		Short:   "Print changes as they come, until interrupted",
		Example: "  mosslead list watch\n  mosslead list watch -o json | jq .",
		Args:    checkArgs(cobra.NoArgs),
	}
	format := outputFlag(c)
	c.RunE = func(c *cobra.Command, _ []string) error {
		if *format != "table" && *format != "json" {
			return usageError{fmt.Errorf("--output: table or json, not %q", *format)}
		}
		s, err := newClient(*replicas)
		if err != nil {
			return err
		}
		defer s.Close()
		s.Watch(c.Context(), nil, client.Watcher{
			Apply: func(l api.WatchEvent) error {
				if *format == "json" {
					return json.NewEncoder(a.stdout).Encode(l)
				}
				for _, e := range l.Endpoints {
					_, _ = fmt.Fprintf(a.stdout, "%d  %-12s %s  %s  zone %s\n", l.Revision, e.Status, e.Name, e.Address, e.Zone)
				}
				return nil
			},
			OnError: func(address string, reason error) {
				a.log.Warn("watch failed", "component", "list", "peer", address, "err", reason)
			},
		})
		return nil
	}
	return c
}

func (a *app) listRegister(replicas *string) *cobra.Command {
	registration := api.Registration{}
	c := &cobra.Command{
		Use:     "register NAME",
		Short:   "List a server by hand, without a lease",
		Example: "  mosslead list register s-1 --address 10.0.0.18:9000 --zone a --type m2 --weight 2",
		Args:    checkArgs(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			if err := registration.Check(args[0]); err != nil {
				return usageError{err}
			}
			return withClient(c, *replicas, func(ctx context.Context, service *client.Client) error {
				_, err := service.SetStatus(ctx, args[0], registration, api.Ready, nil)
				return err
			})
		},
	}
	f := c.Flags()
	f.StringVar(&registration.Address, "address", "", "host:port")
	f.StringVar(&registration.Zone, "zone", "", "zone")
	f.StringVar(&registration.Machine, "type", "", "kind of machine")
	f.IntVar(&registration.Cell, "group", 0, "cell")
	f.Float64Var(&registration.Weight, "weight", 1, "share of the work of one like it")
	f.Int64Var(&registration.StartedMs, "since-ms", 0, "Unix time of its start in milliseconds; 0: long ago")
	f.Int64Var(&registration.Incarnation, "incarnation", 0, "number that rises with each start")
	return c
}

func (a *app) listSetAdminState(replicas *string, use, adminState, short string) *cobra.Command {
	return &cobra.Command{
		Use:     use,
		Short:   short,
		Example: "  mosslead list " + use,
		Args:    checkArgs(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			return withClient(c, *replicas, func(ctx context.Context, service *client.Client) error {
				_, err := service.SetAdminState(ctx, args[0], adminState)
				return err
			})
		},
	}
}

func (a *app) listRemove(replicas *string) *cobra.Command {
	return &cobra.Command{
		Use:     "remove NAME",
		Short:   "End an entry; a server that still gives signs of life registers again",
		Example: "  mosslead list remove s-1",
		Args:    checkArgs(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			return withClient(c, *replicas, func(ctx context.Context, service *client.Client) error {
				_, err := service.SetStatus(ctx, args[0], api.Registration{}, api.Removed, nil)
				if api.IsCode(err, api.CodeNotFound) {
					return errors.New(args[0] + " is not in the list")
				}
				return err
			})
		},
	}
}
