// Command review-3 plays the scripted cases of the third review: it starts the project's own
// programs on loopback, with stand-ins for the platform's store, the workers and the clients.
package main

import (
	"errors"
	"fmt"
	"os"
)

// verdict is the outcome of a case.
type verdict struct {
	broken bool
	text   string
}

var cases = map[string]func(rec *recorder, trouble bool) (verdict, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE RECORD")
		os.Exit(2)
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	v, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		if !errors.Is(err, errCannotRun) {
			fmt.Fprintln(os.Stderr, "unexpected error")
		}
		os.Exit(2)
	}
	rec.note("broken: %t: %s", v.broken, v.text)
	fmt.Printf("broken: %t: %s\n", v.broken, v.text)
	if v.broken {
		os.Exit(1)
	}
}
