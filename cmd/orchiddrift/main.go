// Command orchiddrift is the sidecar: it reads its configuration from the file that GW_CONFIG names, and serves
// until SIGTERM or SIGINT. On SIGHUP it reads the file again and follows discovery at the address that it names.
package main

import (
	"context"
	"fmt"
	"log"
	"os"
	"os/signal"
	"syscall"

	"granitehinge/internal/sidecar"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "orchiddrift:", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hup := make(chan os.Signal, 1) // one that is waiting stands for any that follow
	signal.Notify(hup, syscall.SIGHUP)
	path := os.Getenv("GW_CONFIG")
	c, err := sidecar.LoadConfig(path)
	if err != nil {
		return err
	}
	reloads := make(chan *sidecar.Config)
	go reload(ctx, hup, path, reloads)
	return sidecar.Run(ctx, c, reloads)
}

// reload hands on the configuration each time that hup asks for it, until ctx ends. One that can't be used is
// named in the log, and the one before stays.
func reload(ctx context.Context, hup <-chan os.Signal, path string, to chan<- *sidecar.Config) {
	for {
		select {
		case <-hup:
		case <-ctx.Done():
			return
		}
		c, err := sidecar.LoadConfig(path)
		if err != nil {
			log.Printf("reload: the configuration in use stays: %v", err)
			continue
		}
		select {
		case to <- c:
		case <-ctx.Done():
			return
		}
	}
}
