// Command bed runs the cases of the review that are scripts. It starts the project's serve
// processes on loopback addresses and plays the platform, the minions and the clients.
//
// It exits with 0 if the rule of the case held, with 1 if it was broken, and with 2 if the
// case could not run. With TROUBLE=0 it runs the case without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// maxRunTime ends a run that does not end by itself.
const maxRunTime = 115 * time.Second

// testCase plays a case and returns a description of the broken rule, or "" if it held.
type testCase func(b *bed) (broken string, err error)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: bed CASE RECORD")
		os.Exit(exitNotRun)
	}
	play, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(run(play, os.Args[2]))
}

func run(play testCase, recordPath string) int {
	b, err := newBed(recordPath, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer b.close()
	type result struct {
		broken string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := play(b)
		done <- result{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	r := result{err: fmt.Errorf("no result after %v", maxRunTime)}
	select {
	case r = <-done:
	case <-interrupted:
		r.err = fmt.Errorf("interrupted")
	case <-time.After(maxRunTime):
	}
	switch {
	case r.err != nil:
		b.record("could not run: %v", r.err)
		return exitNotRun
	case r.broken != "":
		b.record("broken: %s", r.broken)
		return exitBroken
	}
	b.record("held")
	return exitHeld
}
