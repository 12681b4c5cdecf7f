package cli

import (
	"context"
	"fmt"
	"os"

	"mosslead/internal/lab/build"
)

// executable returns the path of this program, which the laboratory starts again for its replicas and hosts.
func executable() (string, error) {
	path, err := os.Executable()
	if err != nil {
		return "", fmt.Errorf("finding this program: %w", err)
	}
	return path, nil
}

// programs holds the commands that the laboratory starts.
type programs struct {
	self     string   // this program
	service  []string // command of a replica of the list service, without flags
	sidecar  []string
	revision string // revision that the sidecar was built from
}

// buildPrograms builds the sidecar of the repository in the current directory, into dir, and returns the commands to start.
func buildPrograms(ctx context.Context, dir string) (programs, error) {
	self, err := executable()
	if err != nil {
		return programs{}, err
	}
	root, err := build.Root(".")
	if err != nil {
		return programs{}, usageError{err}
	}
	sidecar, revision, err := build.Sidecar(ctx, root, dir, build.Source{})
	if err != nil {
		return programs{}, err
	}
	return programs{self: self, service: []string{self, "registry", "serve"}, sidecar: []string{sidecar}, revision: revision}, nil
}
