// Command review-standins-2 plays the cases of the second review: it starts the
// store, workers and clients as stand-ins, and the routers as processes.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(folder string, trouble bool) (held bool, err error){
	"endless": runEndless,
	"not-run": runNotRun,
	"resume":  runResume,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standins-2 CASE FOLDER")
		return exitNotRun
	}
	held, err := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
	if !held {
		return exitBroken
	}
	return exitHeld
}
