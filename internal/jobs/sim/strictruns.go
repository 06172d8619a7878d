package sim

import (
	"time"

	"bamboofall.example/bamboofall"
)

// comeUpTime is how long a standing task takes to come up with Config.StrictRuns.
const comeUpTime = 300 * time.Millisecond

// restoreTime is how long a run takes to resume from a checkpoint with Config.StrictRuns.
const restoreTime = 100 * time.Millisecond

// tickStrict advances a run by the rules of Config.StrictRuns. It reports false if the usual
// ones apply.
func (x *Worker) tickStrict(r *run) bool {
	gang := gangRunOf(r)
	switch {
	case x.clock() > x.leaseUntil || !r.stopAt.IsZero():
		return false
	case r.step.Gang && x.world.doneGangs[gang]:
		x.endRun(r, bamboofall.EndDone)
	case r.step.Gang && (x.world.brokenGangs[gang] || r.neverComplete):
		return false
	case r.step.Gang && !x.world.gangPresent(r):
		if x.world.now.Sub(r.startedAt) > gangTimeout {
			x.endRun(r, bamboofall.EndAlone)
		}
	case r.step.Standing && x.FailAll:
		if x.world.now.Sub(r.startedAt) > comeUpTime {
			x.endRun(r, bamboofall.EndFailed)
		}
	case r.step.Standing && !x.StallAll:
		r.progress += tick
	case !r.step.Standing:
		return false
	}
	return true
}
