package bysoak

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
)

// BuildCommit builds the burdock program of a commit of the repository that holds the current
// directory, and returns its path. The source is laid out in dir, which must be empty.
func BuildCommit(ctx context.Context, commit, dir string) (string, error) {
	root, err := exec.CommandContext(ctx, "git", "rev-parse", "--show-toplevel").Output()
	if err != nil {
		return "", fmt.Errorf("building commit %s: finding the repository: %w", commit, err)
	}
	source, program := filepath.Join(dir, "source.tar"), filepath.Join(dir, "burdock")
	for _, args := range [][]string{
		{"git", "-C", strings.TrimSpace(string(root)), "archive", "--format=tar", "-o", source, commit},
		{"tar", "-x", "-f", source, "-C", dir},
		{"go", "-C", dir, "build", "-o", program, "./cmd/burdock"},
	} {
		if out, err := exec.CommandContext(ctx, args[0], args[1:]...).CombinedOutput(); err != nil {
			return "", fmt.Errorf("building commit %s: %s: %w: %s", commit, args[0], err, out)
		}
	}
	return program, nil
}
