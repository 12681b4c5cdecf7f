package cli

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"mosslead/internal/registry/api"
	"mosslead/internal/registry/client"
	"mosslead/internal/settings"
)

func (a *app) config() *cobra.Command {
	c := group(&cobra.Command{
		Use:   "config",
		Short: "Read and change the settings of services, and see where they are in force",
		Long: "Settings of a service are one object, as a sidecar's file has it under \"settings\". The region at --registry is asked; one\n" +
			"region owns a service's settings, and only it takes changes of them.",
		Example: "  mosslead config put orders --file orders.json\n  mosslead config status orders\n  mosslead config back orders",
	})
	at := registryFlag(c)
	c.AddCommand(a.configPut(at), a.configGet(at), a.configStatus(at), a.configBack(at), a.configDelete(at))
	return c
}

// Changed is what a change of settings came to, as -o json prints it.
type changeResult struct {
	Service    string `json:"service"`
	Outcome    string `json:"outcome"`           // one of the words below
	Version    int64  `json:"version,omitempty"` // under which it was done; else the one that there is, where that is known
	BasedOn    int64  `json:"based_on"`
	AnswerLost bool   `json:"answer_lost,omitempty"` // the outcome was looked up afterwards
}

const (
	outcomeDone    = "done"
	outcomeNotDone = "not done"
	outcomeUnknown = "unknown"
)

func (a *app) configPut(at *string) *cobra.Command {
	var path string
	var based int64
	c := &cobra.Command{
		Use:   "put SERVICE --file FILE",
		Short: "Change the settings of a service, once they pass the check that its sidecars make",
		Long: "The file is checked here before anything is asked. Without --if-version the version is read first, and the settings are put\n" +
			"only if it is still that one: of two who do so at once, one is turned down and has to look again.",
		Example: "  mosslead config put orders --file orders.json\n  mosslead config put orders --file orders.json --if-version 41 -o json",
		Args:    checkArgs(cobra.ExactArgs(1)),
	}
	format := outputFlag(c)
	c.Flags().StringVar(&path, "file", "", "settings, as a sidecar's file has them under \"settings\"; -: standard input")
	c.Flags().Int64Var(&based, "if-version", -1, "put only if the settings are at this version; 0: only if there are none")
	c.RunE = func(c *cobra.Command, given []string) error {
		if path == "" {
			return usageError{errors.New("config put: --file FILE")}
		}
		if c.Flags().Changed("if-version") && based < 0 {
			return usageError{fmt.Errorf("--if-version: at least 0, not %d", based)}
		}
		text, err := readSettings(c.InOrStdin(), path)
		if err != nil {
			return usageError{err}
		}
		return a.applyChange(c, *at, *format, settingsChange{service: given[0], baseVersion: based, schema: settings.Schema, settings: text})
	}
	return c
}

// readSettings reads settings that pass the check. An error names file, line and key.
func readSettings(in io.Reader, path string) (json.RawMessage, error) {
	name := path
	if path == "-" {
		name = "standard input"
	} else {
		f, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	text, err := io.ReadAll(io.LimitReader(in, api.MaxSettings+1))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if len(text) > api.MaxSettings {
		return nil, fmt.Errorf("%s: over %d bytes", name, api.MaxSettings)
	}
	if _, err := settings.Check(settings.Schema, text); err != nil {
		p := settings.Locate(text, err)
		if p.Line > 0 {
			if why := errors.Unwrap(err); why != nil && strings.HasPrefix(err.Error(), "line ") {
				err = why // the place, in other words
			}
			name = fmt.Sprintf("%s:%d:%d", name, p.Line, p.Column)
		}
		if p.Key != "" {
			name += ": " + p.Key
		}
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return text, nil
}

// settingsChange is one that is to be made.
type settingsChange struct {
	service     string
	baseVersion int64        // below 0: the version that there is
	base        api.Document // as it was read; where based was given nothing is known but that
	schema      int
	settings    json.RawMessage // nil: they are to be deleted
}

func (x settingsChange) verb() string {
	if x.settings == nil {
		return "delete"
	}
	return "put"
}

// applyChange makes a change, and tells what came of it: also where the answer was lost.
func (a *app) applyChange(c *cobra.Command, at, format string, x settingsChange) error {
	if format != "table" && format != "json" { // before anything is changed
		return usageError{fmt.Errorf("--output: table or json, not %q", format)}
	}
	came := changeResult{Service: x.service, Outcome: outcomeDone}
	if x.base.Revision == 0 {
		x.base.Revision = max(x.baseVersion, 0)
	}
	err := withClient(c, at, func(ctx context.Context, service *client.Client) (err error) {
		if x.baseVersion < 0 {
			if x.base, err = service.Document(ctx, x.service, 0, true); err != nil && !api.IsCode(err, api.CodeNotFound) {
				return err
			}
			none := x.base.Revision == 0 || x.base.Deleted
			if none && x.settings == nil {
				return api.Errorf(api.CodeNotFound, "there are no settings of %s", x.service)
			}
			if x.baseVersion = x.base.Revision; none { // a deletion may be another region's, and is no ground to put on
				x.baseVersion = 0
			}
		}
		if came.BasedOn = x.baseVersion; x.settings == nil {
			came.Version, err = service.Delete(ctx, x.service, x.baseVersion)
		} else {
			came.Version, err = service.Put(ctx, x.service, api.PutRequest{Schema: x.schema, Settings: x.settings, IfRevision: &x.baseVersion})
		}
		return err
	})
	var hint string
	if api.IsCode(err, api.CodeOutcomeUnknown) {
		came.AnswerLost = true
		hint, err = a.lookUpOutcome(c, at, x, &came, err)
	}
	if err != nil && came.Outcome == outcomeDone { // it was turned down, or never asked
		return err
	}
	if said := a.print(format, came, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "service\toutcome\tversion\tbased on\n%s\t%s\t%s\t%d\n", came.Service, came.Outcome, formatVersion(came.Version), came.BasedOn)
	}); said != nil {
		return said
	}
	if hint != "" {
		_, _ = fmt.Fprintln(a.stderr, "mosslead: "+hint)
	}
	return err
}

// lookUpOutcome finds out what became of a change whose answer was lost, in a time of its own.
func (a *app) lookUpOutcome(c *cobra.Command, at string, x settingsChange, came *changeResult, lost error) (hint string, err error) {
	var fate client.WriteOutcome
	var now api.Document
	err = withClient(c, at, func(ctx context.Context, service *client.Client) (err error) {
		fate, came.Version, now, err = service.Outcome(ctx, x.service, x.base, x.settings)
		return err
	})
	switch {
	case err != nil:
		came.Outcome = outcomeUnknown
		return "", fmt.Errorf("it is unknown whether the %s was done, or will be: the answer was lost (%w), and so was the look-up (%w); "+
			"look again with: mosslead config get %s", x.verb(), lost, err, x.service)
	case fate == client.OutcomeDone:
		came.Outcome = outcomeDone
		hint = fmt.Sprintf("the answer was lost (%v); looked up: the %s was done under version %d", lost, x.verb(), came.Version)
		if now.Revision != came.Version {
			hint += fmt.Sprintf(", and version %d has followed", now.Revision)
		}
		return hint, nil
	}
	came.Version = now.Revision
	switch {
	case fate == client.OutcomeUnknown:
		came.Outcome = outcomeUnknown
		return "", fmt.Errorf("it is unknown whether the %s was done: the answer was lost (%w), and what is remembered does not tell; version %s is "+
			"there now; look at it with: mosslead config get %s", x.verb(), lost, formatVersion(now.Revision), x.service)
	case now.Revision == x.base.Revision:
		came.Outcome = outcomeNotDone
		return "", fmt.Errorf("the %s was not done up to now: the answer was lost (%w), and the settings are still at version %s; the call may be on its way "+
			"yet. Do it again with --if-version %d: only one of the two can be carried out", x.verb(), lost, formatVersion(now.Revision), x.baseVersion)
	}
	came.Outcome = outcomeNotDone
	return "", fmt.Errorf("the %s was not done and won't be: the answer was lost (%w), and another change came first; version %d is there now",
		x.verb(), lost, now.Revision)
}

func formatVersion(v int64) string {
	if v == 0 {
		return "none"
	}
	return fmt.Sprint(v)
}

func (a *app) configGet(at *string) *cobra.Command {
	var version int64
	c := &cobra.Command{
		Use:     "get [SERVICE]",
		Short:   "Show the settings of a service, or of which services there are any",
		Example: "  mosslead config get orders\n  mosslead config get orders --version 41 -o json | jq .settings",
		Args:    checkArgs(cobra.MaximumNArgs(1)),
	}
	format := outputFlag(c)
	c.Flags().Int64Var(&version, "version", 0, "those of this version, where it is remembered; 0: the present ones")
	c.RunE = func(c *cobra.Command, given []string) error {
		switch {
		case version < 0:
			return usageError{fmt.Errorf("--version: at least 0, not %d", version)}
		case version != 0 && len(given) == 0:
			return usageError{errors.New("config get --version: of which SERVICE")}
		}
		return withClient(c, *at, func(ctx context.Context, service *client.Client) error {
			if len(given) == 0 {
				all, err := service.Documents(ctx, true)
				if err != nil {
					return err
				}
				return a.print(*format, all, func(w io.Writer) {
					_, _ = fmt.Fprintln(w, documentHeader)
					for _, d := range all.Documents {
						_, _ = fmt.Fprintln(w, documentRow(d))
					}
				})
			}
			d, err := readDocument(ctx, service, given[0], version)
			if err != nil {
				return err
			}
			return a.print(*format, d, func(w io.Writer) {
				_, _ = fmt.Fprintf(w, "%s\n%s\n", documentHeader, documentRow(d))
				var text bytes.Buffer
				if json.Indent(&text, d.Settings, "", "  ") == nil {
					_, _ = fmt.Fprintf(w, "\n%s\n", strings.ReplaceAll(text.String(), "\t", " ")) // a tab would be a column
				}
			})
		})
	}
	return c
}

// readDocument is the settings of a service at a version, 0: at present; none is an error.
func readDocument(ctx context.Context, service *client.Client, name string, version int64) (api.Document, error) {
	d, err := service.Document(ctx, name, version, true)
	switch {
	case err == nil && d.Revision == 0 || version == 0 && api.IsCode(err, api.CodeNotFound):
		return d, api.Errorf(api.CodeNotFound, "there are no settings of %s", name)
	case api.IsCode(err, api.CodeNotFound):
		return d, api.Errorf(api.CodeNotFound, "version %d of the settings of %s is not remembered", version, name)
	}
	return d, err
}

const documentHeader = "service\tregion\tversion\tschema\tearlier"

func documentRow(d api.Document) string {
	schema := fmt.Sprint(d.Schema)
	if d.Deleted {
		schema = "deleted"
	}
	return fmt.Sprintf("%s\t%s\t%d\t%s\t%s", d.Service, cmp.Or(d.Region, "-"), d.Revision, schema,
		cmp.Or(strings.Trim(fmt.Sprint(d.EarlierRevisions), "[]"), "-"))
}

func (a *app) configBack(at *string) *cobra.Command {
	var to int64
	c := &cobra.Command{
		Use:   "back SERVICE",
		Short: "Put the settings of an earlier version again, as a new one",
		Long: "Without --to: the version before the present one. Versions only rise: what is put is the earlier text, under a new version.\n" +
			"Settings that were deleted are brought back in the same way.",
		Example: "  mosslead config back orders\n  mosslead config back orders --to 41",
		Args:    checkArgs(cobra.ExactArgs(1)),
	}
	format := outputFlag(c)
	c.Flags().Int64Var(&to, "to", 0, "the version whose text is put again; 0: the one before the present one")
	c.RunE = func(c *cobra.Command, given []string) error {
		if to < 0 {
			return usageError{fmt.Errorf("--to: at least 0, not %d", to)}
		}
		x := settingsChange{service: given[0]}
		err := withClient(c, *at, func(ctx context.Context, service *client.Client) error {
			now, err := readDocument(ctx, service, given[0], 0)
			if err != nil {
				return err
			}
			switch {
			case to == now.Revision:
				return fmt.Errorf("version %d is the present one", to)
			case to == 0 && len(now.EarlierRevisions) == 0:
				return api.Errorf(api.CodeNotFound, "no earlier version of the settings of %s is remembered", given[0])
			case to == 0:
				to = now.EarlierRevisions[len(now.EarlierRevisions)-1]
			}
			then, err := readDocument(ctx, service, given[0], to)
			if err != nil {
				return err
			}
			if then.Deleted { // as another region's may be
				return fmt.Errorf("version %d is a deletion; for that: mosslead config delete %s", to, given[0])
			}
			if _, err := settings.Check(then.Schema, then.Settings); err != nil {
				return fmt.Errorf("version %d: %w", to, err)
			}
			x.base, x.baseVersion, x.schema, x.settings = now, now.Revision, then.Schema, then.Settings
			if now.Deleted {
				x.baseVersion = 0
			}
			return nil
		})
		if err != nil {
			return err
		}
		return a.applyChange(c, *at, *format, x)
	}
	return c
}

func (a *app) configDelete(at *string) *cobra.Command {
	var based int64
	c := &cobra.Command{
		Use:     "delete SERVICE",
		Short:   "End the settings of a service: its sidecars go back to those of their files",
		Example: "  mosslead config delete orders\n  mosslead config delete orders --if-version 41",
		Args:    checkArgs(cobra.ExactArgs(1)),
	}
	format := outputFlag(c)
	c.Flags().Int64Var(&based, "if-version", -1, "delete only if the settings are at this version")
	c.RunE = func(c *cobra.Command, given []string) error {
		if c.Flags().Changed("if-version") && based < 1 {
			return usageError{fmt.Errorf("--if-version: at least 1, not %d", based)}
		}
		return a.applyChange(c, *at, *format, settingsChange{service: given[0], baseVersion: based})
	}
	return c
}
