// Package cli owns the words of the mosslead command: flags, tables and exit statuses. The work is done elsewhere.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"
	"golang.org/x/term"
)

// The exit statuses.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// usageError is a mistake of the caller's: a flag, an argument, a file that can't be read as it should.
type usageError struct{ error }

func (e usageError) Unwrap() error { return e.error }

// app is what commands share.
type app struct {
	stdout, stderr io.Writer
	terminal       bool // err is one
	log            *slog.Logger
	verbose        bool
}

// Main runs the command and gives its exit status. SIGINT and SIGTERM end its context.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	a := &app{stdout: os.Stdout, stderr: os.Stderr, terminal: term.IsTerminal(int(os.Stderr.Fd()))}
	return a.run(ctx, args)
}

func (a *app) run(ctx context.Context, args []string) int {
	root := a.root()
	root.SetArgs(args)
	root.SetOut(a.stdout)
	root.SetErr(a.stderr)
	err := root.ExecuteContext(ctx)
	var wrong usageError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &wrong):
		_, _ = fmt.Fprintf(a.stderr, "mosslead: %v\n", err)
		return exitUsage
	}
	_, _ = fmt.Fprintf(a.stderr, "mosslead: %v\n", err)
	return exitFailed
}

func (a *app) root() *cobra.Command {
	root := group(&cobra.Command{
		Use:   "mosslead",
		Short: "Carry fleets of sidecars through failures",
		Long: "mosslead is what stands around the sidecar mosslead-sidecar: the list service, what processes keep on disk, and the " +
			"laboratory in which fleets of it are broken on purpose.",
		Example:       "  mosslead registry serve --dev\n  mosslead list get\n  mosslead lab run experiments/crash.toml",
		Version:       version(),
		SilenceErrors: true,
		SilenceUsage:  true,
		PersistentPreRun: func(*cobra.Command, []string) {
			level := slog.LevelWarn
			if a.verbose {
				level = slog.LevelInfo
			}
			a.log = a.newLogger(level)
		},
	})
	root.PersistentFlags().BoolVarP(&a.verbose, "verbose", "v", false, "log what happens, not only what goes wrong")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddCommand(a.lab(), a.state(), a.registry(), a.list(), a.config())
	return root
}

// newLogger logs to the error output: text on a terminal, JSON lines otherwise.
func (a *app) newLogger(level slog.Level) *slog.Logger {
	options := &slog.HandlerOptions{Level: level}
	if a.terminal {
		return slog.New(slog.NewTextHandler(a.stderr, options))
	}
	return slog.New(slog.NewJSONHandler(a.stderr, options))
}

// newServerLogger is that of a command that serves: what happens is said too.
func (a *app) newServerLogger() *slog.Logger { return a.newLogger(slog.LevelInfo) }

// version is the module's, with the revision that it was built from.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	v := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			v += " " + s.Value
		}
	}
	return v
}

// checkArgs turns a mistake in the number of arguments into one of usage.
func checkArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(c *cobra.Command, given []string) error {
		if err := check(c, given); err != nil {
			return usageError{fmt.Errorf("%s: %w (see %s --help)", c.CommandPath(), err, c.CommandPath())}
		}
		return nil
	}
}

// group is a command that only holds others.
func group(c *cobra.Command) *cobra.Command {
	c.RunE = func(c *cobra.Command, given []string) error {
		if len(given) > 0 {
			return usageError{fmt.Errorf("%s: no command is called %q (see %s --help)", c.CommandPath(), given[0], c.CommandPath())}
		}
		return c.Help()
	}
	c.Args = cobra.ArbitraryArgs
	return c
}
