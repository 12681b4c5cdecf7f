// Package build builds the programs that variants of an experiment run: from the work tree, or from an earlier revision
// of this repository, with or without a patch.
package build

import (
	"archive/tar"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Source is what a program is built from.
type Source struct {
	Revision string // empty for the work tree
	Patch    string // a file relative to the repository's root; empty for none
	Tags     string // build tags, as go build takes them
}

// Root returns the root of the repository that dir is in.
func Root(dir string) (string, error) {
	dir, err := filepath.Abs(dir)
	if err != nil {
		return "", err
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "deploy", "balancer.toml")); err == nil {
			return dir, nil
		}
		if up := filepath.Dir(dir); up != dir {
			dir = up
			continue
		}
		return "", errors.New("not inside the repository: programs can't be built here; name one with program = \"PATH\"")
	}
}

// sidecarCommands are the folders of the sidecar's command below cmd: the present one, and the one of earlier
// revisions.
var sidecarCommands = []string{"mosslead-sidecar", "orchiddrift"}

// Sidecar builds the sidecar's command into dir, linked as in the deploy file. from describes the source.
func Sidecar(ctx context.Context, root, dir string, s Source) (path, from string, err error) {
	return buildProgram(ctx, root, dir, sidecarCommands, s)
}

// Service builds cmd/mosslead, which includes the list service, into dir. from describes the source.
func Service(ctx context.Context, root, dir string, s Source) (path, from string, err error) {
	return buildProgram(ctx, root, dir, []string{"mosslead"}, s)
}

// buildProgram builds the first of the named commands that the tree has.
func buildProgram(ctx context.Context, root, dir string, names []string, s Source) (path, from string, err error) {
	tree := root
	if s.Revision == "" && s.Patch != "" {
		s.Revision = "HEAD"
	}
	if s.Revision == "" {
		from, err = describeWorkTree(ctx, root)
	} else {
		tree = filepath.Join(dir, "tree")
		from, err = extract(ctx, root, tree, s.Revision)
	}
	if err != nil {
		return "", "", err
	}
	if s.Patch != "" {
		patch := filepath.Join(root, s.Patch)
		if _, err := run(ctx, tree, "git", "apply", "--whitespace=nowarn", patch); err != nil {
			return "", "", fmt.Errorf("patch %s: %w", s.Patch, err)
		}
		from += " with " + s.Patch
	}
	name, err := findCommand(tree, names)
	if err != nil {
		return "", "", fmt.Errorf("building %s: %w", from, err)
	}
	path = filepath.Join(dir, name)
	if _, err := run(ctx, tree, "go", "build", "-ldflags=-linkmode=external", "-tags="+s.Tags, "-o", path, "./cmd/"+name); err != nil {
		return "", "", fmt.Errorf("building %s: %w", from, err)
	}
	if s.Tags != "" {
		from += " with " + s.Tags
	}
	return path, from, nil
}

// findCommand returns the first of the names that is a folder below the tree's cmd.
func findCommand(tree string, names []string) (string, error) {
	for _, name := range names {
		if info, err := os.Stat(filepath.Join(tree, "cmd", name)); err == nil && info.IsDir() {
			return name, nil
		}
	}
	return "", fmt.Errorf("no command %s", strings.Join(names, " or "))
}

// describeWorkTree returns the revision of the work tree, and whether its files differ from it.
func describeWorkTree(ctx context.Context, root string) (string, error) {
	rev, err := run(ctx, root, "git", "rev-parse", "--short=12", "HEAD")
	if err != nil {
		return "work tree without revision", nil // an exported tree has no revision
	}
	changed, err := run(ctx, root, "git", "status", "--porcelain", "--untracked-files=no", "--", "*.go", "go.mod")
	if err != nil {
		return "", fmt.Errorf("status of the work tree: %w", err)
	}
	from := strings.TrimSpace(rev)
	if strings.TrimSpace(changed) != "" {
		from += " and changes"
	}
	return from, nil
}

// extract writes a revision's files into a new directory, and returns the revision's hash.
func extract(ctx context.Context, root, tree, revision string) (string, error) {
	rev, err := run(ctx, root, "git", "rev-parse", "--short=12", "--verify", revision+"^{commit}")
	if err != nil {
		return "", fmt.Errorf("revision %s: %w", revision, err)
	}
	rev = strings.TrimSpace(rev)
	archive, err := run(ctx, root, "git", "archive", rev, "--", "go.mod", "cmd", "internal", "balancer")
	if err != nil {
		return "", fmt.Errorf("revision %s: %w", revision, err)
	}
	files := tar.NewReader(strings.NewReader(archive))
	for {
		header, err := files.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return "", fmt.Errorf("revision %s: %w", revision, err)
		}
		if header.Typeflag != tar.TypeReg || !filepath.IsLocal(header.Name) {
			continue
		}
		path := filepath.Join(tree, header.Name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			return "", err
		}
		data, err := io.ReadAll(files)
		if err != nil {
			return "", fmt.Errorf("revision %s: %s: %w", revision, header.Name, err)
		}
		if err := os.WriteFile(path, data, 0o644); err != nil {
			return "", err
		}
	}
	// Only revisions that have dependencies have a go.sum.
	if sum, err := run(ctx, root, "git", "show", rev+":go.sum"); err == nil {
		if err := os.WriteFile(filepath.Join(tree, "go.sum"), []byte(sum), 0o644); err != nil {
			return "", err
		}
	}
	return rev, nil
}

// run runs a command and returns its output. The error holds what the command wrote to standard error.
func run(ctx context.Context, dir, name string, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, name, args...)
	cmd.Dir = dir
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	if err := cmd.Run(); err != nil {
		return "", fmt.Errorf("%s %s: %w: %s", name, strings.Join(args[:min(2, len(args))], " "), err, strings.TrimSpace(stderr.String()))
	}
	return stdout.String(), nil
}
