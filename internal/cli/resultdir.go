package cli

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// resultDir returns flagValue, or if that is empty, the default directory of a command, whose name contains the current time. It
// does not create the directory.
func resultDir(flagValue, command string) string {
	if flagValue != "" {
		return flagValue
	}
	return filepath.Join("logs", "lab", command+"-"+time.Now().Format("20060102-150405"))
}

// createResultDir creates the directory that resultDir returns, and returns its absolute path.
func createResultDir(flagValue, command string) (string, error) {
	dir, err := filepath.Abs(resultDir(flagValue, command))
	if err != nil {
		return "", err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", fmt.Errorf("directory of the result: %w", err)
	}
	return dir, nil
}
