// Command harness plays the cases of the review: it starts the programs of the system as
// separate processes on loopback, with stand-ins for the platform's store, its workers and
// its clients, and exits with 1 if a rule was broken, 0 if it held, and 2 if the case could
// not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// shownBreaks is the number of breaks of a rule that are printed; the record has all.
const shownBreaks = 4

// outcome is the result of one play of a case.
type outcome struct {
	broken []string
	// notes are shown with the result.
	notes []string
}

// cases are the cases by name. Each plays with its disruption, or without.
var cases = map[string]func(rec *recorder, trouble bool) (outcome, error){
	"late-arrival":     lateArrival,
	"cancel-elsewhere": cancelElsewhere,
	"cancel-again":     cancelAgain,
	"late-start":       lateStart,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(2)
	}
	rec := newRecorder()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, disruption: %t", os.Args[1], trouble)
	o, err := cases[os.Args[1]](rec, trouble)
	for i, b := range o.broken {
		rec.note("BROKEN %s", b)
		if i < shownBreaks {
			fmt.Println("broken:", b)
		}
	}
	if more := len(o.broken) - shownBreaks; more > 0 {
		fmt.Printf("and %d more, see record.txt\n", more)
	}
	for _, n := range o.notes {
		rec.note("%s", n)
		fmt.Println(n)
	}
	if err != nil {
		rec.note("could not run: %v", err)
		fmt.Println("could not run:", err)
	}
	if werr := rec.write(filepath.Join(os.Args[2], "record.txt")); werr != nil {
		fmt.Println(werr)
		os.Exit(2)
	}
	switch {
	case err != nil:
		os.Exit(2)
	case len(o.broken) > 0:
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
