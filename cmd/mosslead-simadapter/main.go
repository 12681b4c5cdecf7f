// Command mosslead-simadapter runs the decisions of package balancer on the simulator's wire: standard input to standard output.
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
