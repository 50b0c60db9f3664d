package main

import (
	"fmt"
	"os"
	"time"
)

// cases are the cases by name.
var cases = map[string]func(trouble bool) (*world, error){}

// caseTimeout is the longest time that a case may take.
const caseTimeout = 110 * time.Second

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME, with DAEMON and RECORD in the environment")
		os.Exit(2)
	}
	// The daemons end with this process.
	time.AfterFunc(caseTimeout, func() {
		fmt.Fprintln(os.Stderr, "the case took too long")
		os.Exit(2)
	})
	w, err := cases[os.Args[1]](os.Getenv("TROUBLE") != "0")
	if w != nil {
		w.end()
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	case w.broken.Load() > 0:
		fmt.Println("the rule was broken", w.broken.Load(), "times")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
