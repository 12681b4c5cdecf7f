package registry

import (
	"testing"

	"mosslead/internal/golden"
)

// A replica reads the identity that an earlier version wrote, and operators restore earlier backups.
func TestStoredFormsKeepTheirKeys(t *testing.T) {
	golden.JSON(t, "stored", &identity{}, &Backup{})
}
