// Command review3 plays the scripts of the third review: it starts the entry VMs as separate
// processes, with stand-ins for the platform, its minions and its clients, and checks one rule
// from what these see.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"errors"
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

// scenario plays a case with or without its disruption, and returns how the rule was broken.
type scenario func(d *deployment, trouble bool) (broken []string, err error)

var scenarios = map[string]scenario{
	"neverstarted": neverStarted,
	"manycrashed":  manyCrashed,
	"soak":         soak,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review3 CASE RECORD")
		return exitNotRun
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }()
	log := &record{file: file, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	log.line("case %s, disruption %t", os.Args[1], trouble)
	d, err := newDeployment(log, uint64(time.Now().UnixNano()))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.stop()
	broken, err := playWithin(d, scenarios[os.Args[1]], trouble)
	if err != nil {
		log.line("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	for _, b := range broken {
		log.line("RULE BROKEN: %s", b)
		fmt.Println("broken:", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	log.line("the rule held")
	fmt.Println("held")
	return exitHeld
}

// maxTime is the longest time that a case may take.
const maxTime = 115 * time.Second

var errStopped = errors.New("the case was stopped, or took too long")

func playWithin(d *deployment, s scenario, trouble bool) (broken []string, err error) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	ended := make(chan struct{})
	go func() {
		broken, err = s(d, trouble)
		close(ended)
	}()
	select {
	case <-ended:
		return broken, err
	case <-signals:
	case <-time.After(maxTime):
	}
	return nil, errStopped
}
