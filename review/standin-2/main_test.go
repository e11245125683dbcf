//go:build review2

// Package standin2 plays the cases of the second review: it starts gateways as separate processes before stand-ins of
// the store (package emulator), of servers and of clients, and judges what these have seen. It is built as a test
// binary (review/build-2.sh), since it acts as the platform:
//
//	target/review-2 CASE RECORD
//
// With TROUBLE=0 the disruption is left out. The exit code is 0 if the rule held, 1 if it was broken, and 2 if the
// case couldn't run.
package standin2

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// TestMain plays the case that the arguments name.
func TestMain(*testing.M) {
	os.Exit(run(os.Args[1:]))
}

// run plays a case and returns the exit code.
func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		return exitCannot
	}
	r, err := newRig(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer r.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		r.close()
		os.Exit(exitCannot)
	}()
	broken, err := cases[args[0]](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.note("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	case broken != "":
		r.note("BROKEN: %s", broken)
		fmt.Println(broken)
		return exitBroken
	}
	r.note("the rule held")
	return exitHeld
}
