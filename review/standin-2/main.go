//go:build review2

package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(exitCannot)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(exitCannot)
	}
	r, err := newRig(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannot)
	}
	broken, err := play(r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.note("the case couldn't run: %v", err)
	case broken != "":
		r.note("BROKEN: %s", broken)
	default:
		r.note("held")
	}
	r.close()
	fmt.Println(broken, err)
	switch {
	case err != nil:
		os.Exit(exitCannot)
	case broken != "":
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}
