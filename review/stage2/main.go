// Command stage2 plays the scripted cases of the second review: entry daemons as
// processes, with stand-ins for clients, minions and the platform's store.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	notPlayed = 2
)

// timeLimit bounds a run.
const timeLimit = 115 * time.Second

// scenario plays a case on a bed, with its disruption or without.
type scenario struct {
	setUp func(record string) (*bed, error)
	play  func(b *bed, trouble bool) (verdict int, why string)
}

var scenarios = map[string]scenario{
	"silent":    {setUpSilent, playSilent},
	"quiet":     {setUpQuiet, playQuiet},
	"forgotten": {setUpForgotten, playForgotten},
}

// The daemons get a signal when the thread ends that started them.
func init() { runtime.LockOSThread() }

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: stage2 SCENARIO RECORD")
		os.Exit(notPlayed)
	}
	verdict, why := playOn(scenarios[os.Args[1]], os.Args[2])
	fmt.Println(map[int]string{held: "held", broken: "broken", notPlayed: "not played"}[verdict]+":", why)
	os.Exit(verdict)
}

// playOn plays a scenario and ends all that it has started, also after a signal.
func playOn(s scenario, record string) (verdict int, why string) {
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	b, err := s.setUp(record)
	if b != nil {
		defer b.stop()
	}
	if err != nil {
		return notPlayed, err.Error()
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		verdict, why = notPlayed, "the daemons are not ready"
		if b.ready(10 * time.Second) {
			verdict, why = s.play(b, os.Getenv("TROUBLE") != "0")
		}
	}()
	select {
	case <-done:
	case <-stopped:
		return notPlayed, "stopped by a signal"
	case <-time.After(timeLimit):
		return notPlayed, "it took too long"
	}
	b.noteCounts()
	b.note("%s", why)
	return verdict, why
}
