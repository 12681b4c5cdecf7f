//go:build !lossyfs

package durable

// OS is the directory dir, which it makes where it is missing, also later on.
func OS(dir string) FS { return osFS{dir} }
