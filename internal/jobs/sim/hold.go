package sim

import (
	"fmt"
	"slices"
	"time"

	"bamboofall.example/bamboofall"
)

func (x *Worker) handleHold(order bamboofall.HoldOrder, answer reply) {
	x.extendLease(order.LeaseUntil)
	x.ackedEnd = max(x.ackedEnd, min(order.AcknowledgedEnd, x.lastEnd)) // the acknowledged end may be from before a crash
	for _, e := range x.ends {
		if e.Number <= x.ackedEnd && e.Cause == bamboofall.EndDone {
			x.world.auditOf(e.Task).acknowledged = true
		}
	}
	x.ends = slices.DeleteFunc(x.ends, func(e bamboofall.End) bool { return e.Number <= x.ackedEnd })
	if len(x.ends) == 0 && order.Wait > 0 {
		x.waitForEnd(order, answer)
		return
	}
	answer(x.responseMeta(), x.report(), nil)
}

// maxEndsListed is the maximum number of ends that the platform includes in a
// report.
const maxEndsListed = 500

// waitingHold is a hold call that waits for the next end.
type waitingHold struct {
	order    bamboofall.HoldOrder
	until    time.Time
	answer   reply
	answered bool
}

// waitForEnd answers a hold call at the next end, or when it has waited long enough.
func (x *Worker) waitForEnd(order bamboofall.HoldOrder, answer reply) {
	h := &waitingHold{order: order, until: x.world.now.Add(order.Wait), answer: answer}
	x.waitingHolds = append(x.waitingHolds, h)
	x.world.schedule(order.Wait, func() { x.answerHold(h) })
}

// answerHold answers a hold call that waits, unless it was answered before or is lost.
func (x *Worker) answerHold(h *waitingHold) {
	if h.answered || x.restarting {
		return // a call that moves is answered by the new process
	}
	h.answered = true
	if !x.up {
		x.breakCall(h.answer)
		return
	}
	x.waitingHolds = slices.DeleteFunc(x.waitingHolds, func(o *waitingHold) bool { return o == h })
	h.answer(x.responseMeta(), x.report(), nil)
}

// report returns the answer to a hold call. Only these answers name the process.
func (x *Worker) report() bamboofall.HoldReport {
	meta := x.responseMeta()
	meta.Born = x.born
	report := bamboofall.HoldReport{ResponseMeta: meta, Ends: slices.Clone(x.ends[:min(len(x.ends), maxEndsListed)])}
	for _, r := range x.runs {
		running := bamboofall.RunningTask{Task: r.task, Run: r.number, ProgressPercent: 100}
		switch {
		case r.step.Standing && x.world.cfg.StrictRuns && r.progress < comeUpTime:
			running.ProgressPercent, running.Gauge = 0, r.step.TailTarget.Milliseconds()/2
		case r.step.TailTarget > 0:
			tail := x.tailLatency(r)
			running.Gauge = tail.Milliseconds()
			x.world.Stats.TailSamples++
			if tail > r.step.TailTarget {
				x.world.Stats.OverTarget++
			}
			x.recordHarm(r, tail)
		default:
			running.Gauge = r.step.Size.MilliProcessors * int64(r.pacePercent) / 100
			if r.duration > 0 {
				running.ProgressPercent = int(100 * r.progress / r.duration)
			}
		}
		if r.step.Checkpointing {
			running.Checkpoint = fmt.Sprintf("%d", r.progress.Milliseconds())
		}
		report.Running = append(report.Running, running)
	}
	return report
}
