// Command stand plays the cases of the review: it starts the system's processes, the
// platform, runners and clients on loopback addresses, and checks one rule.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could
// not run. With TROUBLE=0 in its environment it plays a case without the disruption.
package main

import (
	"fmt"
	"os"
	"runtime"
)

// The exit codes of a case.
const (
	held     = 0
	broken   = 1
	notValid = 2
)

// cases are the cases by name. Each returns whether its rule was broken.
var cases = map[string]func(w *world, trouble bool) (isBroken bool, err error){
	"paused-analyzer": playPausedAnalyzer,
	"split-route":     playSplitRoute,
	"returned-store":  playReturnedStore,
	"long-bodies":     playLongBodies,
	"crashing-part":   playCrashingPart,
}

// The processes under test end with the thread that has started them.
func init() { runtime.LockOSThread() }

func main() { os.Exit(run()) }

func run() int {
	const arguments = 3
	if len(os.Args) != arguments || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD-FILE")
		return notValid
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notValid
	}
	defer w.close()
	isBroken, err := cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		w.say("not valid: %v", err)
		return notValid
	case isBroken:
		w.say("BROKEN")
		return broken
	}
	w.say("held")
	return held
}
