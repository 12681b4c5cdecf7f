package registry

import (
	"testing"

	"mosslead/internal/golden"
)

// Guards the encoded names of stored data: a replica reads the identity that an earlier version wrote, and operators restore
// backups of earlier versions.
func TestStoredFormsKeepTheirKeys(t *testing.T) {
	golden.JSON(t, "stored", &identity{}, &Backup{})
}
