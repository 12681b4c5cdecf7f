// Command standin2 plays the cases of the second review. Clients, upstreams, discovery and the platform are its own; the sidecar
// is the project's program, started by run of the deploy file.
//
//	standin2 CASE ROOT FOLDER TROUBLE
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxTime is how long a case may run; a script may take 120 s.
const maxTime = 112 * time.Second

var cases = map[string]func(c caseRun){}

// caseRun is one play of a case.
type caseRun struct {
	root    string
	rec     *record
	trouble bool // false: the same without the disruption
}

// verdict prints the result and exits.
func (c caseRun) verdict(broken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	word := "the rule held"
	if broken {
		word = "THE RULE WAS BROKEN"
	}
	c.rec.log("verdict    %s: %s", word, text)
	fmt.Printf("%s: %s\n", word, text)
	if broken {
		exit(exitBroken)
	}
	exit(exitHeld)
}

func main() {
	if len(os.Args) != 5 || cases[os.Args[1]] == nil {
		unable("usage: standin2 CASE ROOT FOLDER TROUBLE")
	}
	time.AfterFunc(maxTime, func() { unable("it takes too long") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() { unable("signal %v", <-signals) }()
	c := caseRun{root: os.Args[2], rec: newRecord(filepath.Join(os.Args[3], "record.txt")), trouble: os.Args[4] != "0"}
	cases[os.Args[1]](c)
}
