// Command mosslead-sidecar is the sidecar: it reads its configuration from the file that GW_CONFIG names, and serves
// until SIGTERM or SIGINT. On SIGHUP it reads the file again and applies its settings and the address of discovery.
package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"mosslead/internal/asynclog"
	"mosslead/internal/sidecar"
)

// logCloseTimeout is how long the process waits at its end for the reader of its log.
const logCloseTimeout = 100 * time.Millisecond

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "mosslead-sidecar:", err)
		os.Exit(1)
	}
}

func run() error {
	log := asynclog.New(os.Stderr)
	defer log.Close(logCloseTimeout)
	slog.SetDefault(slog.New(handler(os.Stderr, log)))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hup := make(chan os.Signal, 1) // one pending signal also stands for those that follow it
	signal.Notify(hup, syscall.SIGHUP)
	path := os.Getenv("GW_CONFIG")
	c, err := sidecar.LoadConfig(path)
	if err != nil {
		return err
	}
	reloads := make(chan sidecar.Reload)
	go reload(ctx, hup, path, reloads)
	return sidecar.Run(ctx, c, reloads)
}

// handler returns the handler that writes log lines for a file to w: text if the file is a terminal, otherwise JSON.
func handler(file *os.File, w io.Writer) slog.Handler {
	if info, err := file.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 {
		return slog.NewTextHandler(w, nil)
	}
	return slog.NewJSONHandler(w, nil)
}

// reload reads the configuration at each signal from hup and sends it to reloads, until ctx ends.
func reload(ctx context.Context, hup <-chan os.Signal, path string, reloads chan<- sidecar.Reload) {
	for {
		select {
		case <-hup:
		case <-ctx.Done():
			return
		}
		c, err := sidecar.LoadConfig(path)
		select {
		case reloads <- sidecar.Reload{Config: c, Err: err}:
		case <-ctx.Done():
			return
		}
	}
}
