//go:build review

// Package standin plays one case of the review against gateways that run as processes of their own.
// It is built as a test binary, since it acts as the platform and as its clients (review/build.sh):
//
//	target/review-standin CASE FOLDER
//
// It serves the platform's store and servers (package emulator) on loopback addresses, starts the
// gateways with the command of deploy/system.toml, and sends them requests as the platform's clients
// do. Each case's file says what it sends, what it disturbs and what it checks. With TROUBLE=0 the
// disturbance is left out.
//
// FOLDER/record.txt gets one line for each thing that was sent, answered, run or disturbed, behind
// the time since the start in seconds. The exit code is 0 if the rule held, 1 if it was broken, and 2
// if the case could not run.
package standin

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play plays a case and reports whether the rule was broken.
type play func(b *bench) (broken bool, err error)

// cases holds the cases by name.
var cases = map[string]play{
	"hang":     playHang,
	"versions": playVersions,
	"resume":   playResume,
}

// TestMain plays the case that the arguments name.
func TestMain(*testing.M) {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE FOLDER")
		return exitNotRun
	}
	b, err := newBench(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer b.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		b.close()
		os.Exit(exitNotRun)
	}()
	broken, err := cases[args[0]](b)
	switch {
	case err != nil:
		b.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		b.note("the rule was broken")
		return exitBroken
	}
	b.note("the rule held")
	return exitHeld
}
