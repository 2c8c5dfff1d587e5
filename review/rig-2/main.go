// Command rig runs one case of the review: it starts the project's programs as separate
// processes on loopback, plays the platform around them (store, workers, clients and the
// network between them), and checks one rule.
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

// verdict is what a case found.
type verdict struct {
	broken bool
	text   string
}

// cases maps the name of a case to its function. The argument is whether the disruption
// is played.
var cases = map[string]func(w *world, trouble bool) (verdict, error){
	"held":   heldRequests,
	"lost":   lostClients,
	"cutoff": cutOffEntry,
	"poison": poisonedSteps,
	"drain":  drainUnheard,
	"label":  foreignLabels,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(exitNotRun)
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(run(play, os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(play func(*world, bool) (verdict, error), record string, trouble bool) int {
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	}
	defer w.close()
	w.note("trouble: %t", trouble)
	v, err := play(w, trouble)
	if err != nil {
		w.note("not run: %v", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	}
	w.note("broken: %t: %s", v.broken, v.text)
	fmt.Printf("broken: %t: %s\n", v.broken, v.text)
	if v.broken {
		return exitBroken
	}
	return exitHeld
}
