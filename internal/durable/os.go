//go:build !lossyfs

package durable

// OS returns the directory dir as an FS, which creates the directory whenever it is missing.
func OS(dir string) FS { return osFS{dir} }
