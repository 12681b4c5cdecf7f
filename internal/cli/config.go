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
	replicas := registryFlag(c)
	c.AddCommand(a.configPut(replicas), a.configGet(replicas), a.configStatus(replicas), a.configBack(replicas), a.configDelete(replicas))
	return c
}

// changeResult is the result of a change of settings, as -o json prints it.
type changeResult struct {
	Service    string `json:"service"`
	Outcome    string `json:"outcome"`               // one of the outcomes below
	Version    int64  `json:"version,omitempty"`     // version that the change created; otherwise the current version, if that is known
	BasedOn    int64  `json:"based_on"`              // version that the change was based on
	AnswerLost bool   `json:"answer_lost,omitempty"` // the response was lost and the outcome was looked up
}

const (
	outcomeDone    = "done"
	outcomeNotDone = "not done"
	outcomeUnknown = "unknown"
)

func (a *app) configPut(replicas *string) *cobra.Command {
	var path string
	var ifVersion int64
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
	c.Flags().Int64Var(&ifVersion, "if-version", -1, "put only if the settings are at this version; 0: only if there are none")
	c.RunE = func(c *cobra.Command, args []string) error {
		if path == "" {
			return usageError{errors.New("config put: --file FILE")}
		}
		if c.Flags().Changed("if-version") && ifVersion < 0 {
			return usageError{fmt.Errorf("--if-version: at least 0, not %d", ifVersion)}
		}
		text, err := readSettings(c.InOrStdin(), path)
		if err != nil {
			return usageError{err}
		}
		return a.applyChange(c, *replicas, *format, settingsChange{service: args[0], baseVersion: ifVersion, schema: settings.Schema, settings: text})
	}
	return c
}

// readSettings reads settings from a file, or from in if path is "-", and checks them. Its error names file, line and key.
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
			if reason := errors.Unwrap(err); reason != nil && strings.HasPrefix(err.Error(), "line ") {
				err = reason // drops "line N" from the error, since name holds the line
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

// settingsChange is a put or a deletion of the settings of a service.
type settingsChange struct {
	service     string
	baseVersion int64        // if negative, the change is based on the current version
	base        api.Document // document that the change is based on; if the caller gave baseVersion, only its revision is known
	schema      int
	settings    json.RawMessage // nil for a deletion
}

// verb returns "put" or "delete", for messages.
func (c settingsChange) verb() string {
	if c.settings == nil {
		return "delete"
	}
	return "put"
}

// applyChange makes a change and prints its result. If the response is lost, it looks the outcome up.
func (a *app) applyChange(c *cobra.Command, replicas, format string, change settingsChange) error {
	if format != "table" && format != "json" { // checked before anything is changed
		return usageError{fmt.Errorf("--output: table or json, not %q", format)}
	}
	result := changeResult{Service: change.service, Outcome: outcomeDone}
	if change.base.Revision == 0 {
		change.base.Revision = max(change.baseVersion, 0)
	}
	err := withClient(c, replicas, func(ctx context.Context, service *client.Client) (err error) {
		if change.baseVersion < 0 {
			if change.base, err = service.Document(ctx, change.service, 0, true); err != nil && !api.IsCode(err, api.CodeNotFound) {
				return err
			}
			none := change.base.Revision == 0 || change.base.Deleted
			if none && change.settings == nil {
				return api.Errorf(api.CodeNotFound, "there are no settings of %s", change.service)
			}
			if change.baseVersion = change.base.Revision; none { // a put after a deletion is based on 0, since the deletion may have been made in another region
				change.baseVersion = 0
			}
		}
		if result.BasedOn = change.baseVersion; change.settings == nil {
			result.Version, err = service.Delete(ctx, change.service, change.baseVersion)
		} else {
			result.Version, err = service.Put(ctx, change.service, api.PutRequest{Schema: change.schema, Settings: change.settings, IfRevision: &change.baseVersion})
		}
		return err
	})
	var hint string
	if api.IsCode(err, api.CodeOutcomeUnknown) {
		result.AnswerLost = true
		hint, err = a.lookUpOutcome(c, replicas, change, &result, err)
	}
	if err != nil && result.Outcome == outcomeDone { // the change was rejected, or the service was not reached
		return err
	}
	if printErr := a.print(format, result, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "service\toutcome\tversion\tbased on\n%s\t%s\t%s\t%d\n", result.Service, result.Outcome, formatVersion(result.Version), result.BasedOn)
	}); printErr != nil {
		return printErr
	}
	if hint != "" {
		_, _ = fmt.Fprintln(a.stderr, "mosslead: "+hint)
	}
	return err
}

// lookUpOutcome looks up the outcome of a change whose response was lost, with a timeout of its own, and stores it in result. It returns
// a hint to print if the change was done, otherwise an error.
func (a *app) lookUpOutcome(c *cobra.Command, replicas string, change settingsChange, result *changeResult, lost error) (hint string, err error) {
	var outcome client.WriteOutcome
	var current api.Document
	err = withClient(c, replicas, func(ctx context.Context, service *client.Client) (err error) {
		outcome, result.Version, current, err = service.Outcome(ctx, change.service, change.base, change.settings)
		return err
	})
	switch {
	case err != nil:
		result.Outcome = outcomeUnknown
		return "", fmt.Errorf("it is unknown whether the %s was done, or will be: the answer was lost (%w), and so was the look-up (%w); "+
			"look again with: mosslead config get %s", change.verb(), lost, err, change.service)
	case outcome == client.OutcomeDone:
		result.Outcome = outcomeDone
		hint = fmt.Sprintf("the answer was lost (%v); looked up: the %s was done under version %d", lost, change.verb(), result.Version)
		if current.Revision != result.Version {
			hint += fmt.Sprintf(", and version %d has followed", current.Revision)
		}
		return hint, nil
	}
	result.Version = current.Revision
	switch {
	case outcome == client.OutcomeUnknown:
		result.Outcome = outcomeUnknown
		return "", fmt.Errorf("it is unknown whether the %s was done: the answer was lost (%w), and what is remembered does not tell; version %s is "+
			"there now; look at it with: mosslead config get %s", change.verb(), lost, formatVersion(current.Revision), change.service)
	case current.Revision == change.base.Revision:
		result.Outcome = outcomeNotDone
		return "", fmt.Errorf("the %s was not done up to now: the answer was lost (%w), and the settings are still at version %s; the call may be on its way "+
			"yet. Do it again with --if-version %d: only one of the two can be carried out", change.verb(), lost, formatVersion(current.Revision), change.baseVersion)
	}
	result.Outcome = outcomeNotDone
	return "", fmt.Errorf("the %s was not done and won't be: the answer was lost (%w), and another change came first; version %d is there now",
		change.verb(), lost, current.Revision)
}

// formatVersion returns v as text, or "none" for 0.
func formatVersion(v int64) string {
	if v == 0 {
		return "none"
	}
	return fmt.Sprint(v)
}

func (a *app) configGet(replicas *string) *cobra.Command {
	var version int64
	c := &cobra.Command{
		Use:     "get [SERVICE]",
		Short:   "Show the settings of a service, or of which services there are any",
		Example: "  mosslead config get orders\n  mosslead config get orders --version 41 -o json | jq .settings",
		Args:    checkArgs(cobra.MaximumNArgs(1)),
	}
	format := outputFlag(c)
	c.Flags().Int64Var(&version, "version", 0, "those of this version, where it is remembered; 0: the present ones")
	c.RunE = func(c *cobra.Command, args []string) error {
		switch {
		case version < 0:
			return usageError{fmt.Errorf("--version: at least 0, not %d", version)}
		case version != 0 && len(args) == 0:
			return usageError{errors.New("config get --version: of which SERVICE")}
		}
		return withClient(c, *replicas, func(ctx context.Context, service *client.Client) error {
			if len(args) == 0 {
				documents, err := service.Documents(ctx, true)
				if err != nil {
					return err
				}
				return a.print(*format, documents, func(w io.Writer) {
					_, _ = fmt.Fprintln(w, documentHeader)
					for _, d := range documents.Documents {
						_, _ = fmt.Fprintln(w, documentRow(d))
					}
				})
			}
			d, err := readDocument(ctx, service, args[0], version)
			if err != nil {
				return err
			}
			return a.print(*format, d, func(w io.Writer) {
				_, _ = fmt.Fprintf(w, "%s\n%s\n", documentHeader, documentRow(d))
				var text bytes.Buffer
				if json.Indent(&text, d.Settings, "", "  ") == nil {
					_, _ = fmt.Fprintf(w, "\n%s\n", strings.ReplaceAll(text.String(), "\t", " ")) // a tab would start a new column
				}
			})
		})
	}
	return c
}

// readDocument reads the settings of a service at a version, or the current ones if version is 0. Its error is CodeNotFound if there
// are none.
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

// documentRow returns the row of d below documentHeader.
func documentRow(d api.Document) string {
	schema := fmt.Sprint(d.Schema)
	if d.Deleted {
		schema = "deleted"
	}
	return fmt.Sprintf("%s\t%s\t%d\t%s\t%s", d.Service, cmp.Or(d.Region, "-"), d.Revision, schema,
		cmp.Or(strings.Trim(fmt.Sprint(d.EarlierRevisions), "[]"), "-"))
}

func (a *app) configBack(replicas *string) *cobra.Command {
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
	c.RunE = func(c *cobra.Command, args []string) error {
		if to < 0 {
			return usageError{fmt.Errorf("--to: at least 0, not %d", to)}
		}
		change := settingsChange{service: args[0]}
		err := withClient(c, *replicas, func(ctx context.Context, service *client.Client) error {
			current, err := readDocument(ctx, service, args[0], 0)
			if err != nil {
				return err
			}
			switch {
			case to == current.Revision:
				return fmt.Errorf("version %d is the present one", to)
			case to == 0 && len(current.EarlierRevisions) == 0:
				return api.Errorf(api.CodeNotFound, "no earlier version of the settings of %s is remembered", args[0])
			case to == 0:
				to = current.EarlierRevisions[len(current.EarlierRevisions)-1]
			}
			earlier, err := readDocument(ctx, service, args[0], to)
			if err != nil {
				return err
			}
			if earlier.Deleted { // an earlier version of another region can be a deletion
				return fmt.Errorf("version %d is a deletion; for that: mosslead config delete %s", to, args[0])
			}
			if _, err := settings.Check(earlier.Schema, earlier.Settings); err != nil {
				return fmt.Errorf("version %d: %w", to, err)
			}
			change.base, change.baseVersion, change.schema, change.settings = current, current.Revision, earlier.Schema, earlier.Settings
			if current.Deleted {
				change.baseVersion = 0
			}
			return nil
		})
		if err != nil {
			return err
		}
		return a.applyChange(c, *replicas, *format, change)
	}
	return c
}

func (a *app) configDelete(replicas *string) *cobra.Command {
	var ifVersion int64
	c := &cobra.Command{
		Use:     "delete SERVICE",
		Short:   "End the settings of a service: its sidecars go back to those of their files",
		Example: "  mosslead config delete orders\n  mosslead config delete orders --if-version 41",
		Args:    checkArgs(cobra.ExactArgs(1)),
	}
	format := outputFlag(c)
	c.Flags().Int64Var(&ifVersion, "if-version", -1, "delete only if the settings are at this version")
	c.RunE = func(c *cobra.Command, args []string) error {
		if c.Flags().Changed("if-version") && ifVersion < 1 {
			return usageError{fmt.Errorf("--if-version: at least 1, not %d", ifVersion)}
		}
		return a.applyChange(c, *replicas, *format, settingsChange{service: args[0], baseVersion: ifVersion})
	}
	return c
}
