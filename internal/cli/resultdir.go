package cli

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// resultDir returns the directory given by a flag, or else the default one of a command, which has the present time in its
// name. It does not create the directory.
func resultDir(given, command string) string {
	if given != "" {
		return given
	}
	return filepath.Join("logs", "lab", command+"-"+time.Now().Format("20060102-150405"))
}

// createResultDir creates the directory of a result, see resultDir, and returns its absolute path.
func createResultDir(given, command string) (string, error) {
	dir, err := filepath.Abs(resultDir(given, command))
	if err != nil {
		return "", err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", fmt.Errorf("directory of the result: %w", err)
	}
	return dir, nil
}
