// Command mosslead runs the list service, the operators' commands for it, and the laboratory.
package main

import (
	"os"

	"mosslead/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:])) }
