// Command mosslead is everything around the sidecar: the laboratory, and later the control plane.
package main

import (
	"os"

	"mosslead/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:])) }
