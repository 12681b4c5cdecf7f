// Command mosslead-simadapter connects package balancer to the simulator: it reads events from standard input and writes
// actions to standard output.
package main

import (
	"fmt"
	"os"

	"mosslead/internal/wire"
)

func main() {
	if err := wire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "mosslead-simadapter:", err)
		os.Exit(1)
	}
}
