package cell_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// standingCell is a cell with two workers and a standing task on one of them.
type standingCell struct {
	*cell.Cell
	t   *testing.T
	now time.Time
	// startedAt is the worker of the last start.
	startedAt string
	notes     []cell.Note
	running   map[string][]bamboofall.RunningTask
}

func newStandingCell(t *testing.T) *standingCell {
	s := newStatusCell(t)
	submit(s.Cell, "0000000000000001", "q", bamboofall.Step{Count: 1, Size: statusSize, Standing: true})
	return s
}

var statusSize = bamboofall.Resources{MilliProcessors: 1000, MemoryBytes: 1 << 30}

// newStatusCell returns a cell with two workers and no jobs.
func newStatusCell(t *testing.T) *standingCell {
	c := cell.New(cell.Config{Epoch: 1, Lease: 5 * time.Second, EndedJobRetention: time.Minute, RemoteFactor: 2})
	c.SetConfiguration(&bamboofall.Configuration{Version: 1, Queues: []bamboofall.Queue{{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 2, Slack: time.Second}}})
	s := &standingCell{Cell: c, t: t, now: testStart, running: make(map[string][]bamboofall.RunningTask)}
	for n := range 2 {
		c.SetWorker(testStart, testWorker(n+1))
	}
	return s
}

// run steps the cell for a time. Holds of silent workers and, if refuse is set, all
// starts fail.
func (s *standingCell) run(d time.Duration, refuse bool, silent func(worker string) bool) {
	s.t.Helper()
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(50 * time.Millisecond) {
		out := s.Step(s.now)
		s.notes = append(s.notes, out.Notes...)
		meta := bamboofall.ResponseMeta{Clock: s.now.Sub(testStart) + time.Second, Born: testStart}
		for _, o := range out.Orders {
			switch {
			case o.Kind == cell.OrderHold && silent(o.Worker.ID):
				s.HoldAnswered(s.now, o, bamboofall.HoldReport{}, unanswered)
			case o.Kind == cell.OrderHold:
				s.HoldAnswered(s.now, o, bamboofall.HoldReport{ResponseMeta: meta, Running: s.running[o.Worker.ID]}, nil)
			case o.Kind == cell.OrderStart && refuse:
				s.StartAnswered(s.now, o, meta, &bamboofall.RejectedError{Cause: bamboofall.RejectNoResources})
			case o.Kind == cell.OrderStart:
				s.startedAt = o.Worker.ID
				s.running[o.Worker.ID] = append(s.running[o.Worker.ID], bamboofall.RunningTask{Task: o.Start.Task, Run: o.Start.Run, ProgressPercent: 100})
				s.StartAnswered(s.now, o, meta, nil)
			}
		}
		_, number, err := s.Flush()
		assert.NilError(s.t, err)
		s.Stored(s.now, number)
	}
}

// lastNote returns the last note of an event whose detail contains a text, or an empty
// one.
func (s *standingCell) lastNote(event, text string) (last cell.Note) {
	for _, n := range s.notes {
		if n.Event == event && strings.Contains(n.Detail, text) {
			last = n
		}
	}
	return last
}

func TestStatusOfStandingTaskThatRuns(t *testing.T) {
	s := newStandingCell(t)
	s.run(8*time.Second, false, func(string) bool { return false })
	assert.Equal(t, s.Status(), cell.Status{Known: 2, Usable: 2, Standing: 1, StandingRunning: 1})
	assert.Equal(t, s.lastNote("waiting", "standing task down"), cell.Note{})
}

// A standing task whose starts are all refused is down with room for it, and workers
// that answer are not to blame.
func TestStatusOfStandingTaskWhoseStartsAreRefused(t *testing.T) {
	s := newStandingCell(t)
	s.run(9*time.Second, true, func(string) bool { return false })
	status := s.Status()
	assert.Equal(t, status.Silent, 0)
	assert.Equal(t, status.StandingRunning, 0)
	assert.Assert(t, status.LongestDownWithRoom >= 5*time.Second, "%v", status.LongestDownWithRoom)
	note := s.lastNote("waiting", "standing task down")
	assert.Equal(t, note.Task, "0000000000000001.0.0.0")
	assert.Assert(t, strings.Contains(note.Detail, "waiting; workers: "), note.Detail)
}

// A task that no worker may take as all are silent is down with room, too: what the owner
// believes of the workers may be wrong.
func TestStatusOfStandingTaskAtSilentWorkers(t *testing.T) {
	s := newStandingCell(t)
	s.run(4*time.Second, false, func(string) bool { return false })
	assert.Equal(t, s.Status().StandingRunning, 1)
	s.run(20*time.Second, false, func(string) bool { return true })
	status := s.Status()
	assert.Equal(t, status.Silent, 2)
	assert.Equal(t, status.Usable, 0)
	assert.Equal(t, status.StandingRunning, 0)
	assert.Assert(t, status.LongestDownWithRoom >= 5*time.Second, "%v", status.LongestDownWithRoom)
	note := s.lastNote("waiting", "standing task down")
	assert.Assert(t, strings.Contains(note.Detail, "unusable 2"), note.Detail)
	summary := s.lastNote("summary", "")
	assert.Assert(t, strings.Contains(summary.Detail, fmt.Sprintf("standing tasks 1 running 0, longest down %v", status.LongestDown)), summary.Detail)
}

func TestStatusOfStandingTaskWithoutRoom(t *testing.T) {
	s := newStandingCell(t)
	for n := range 2 {
		s.RemoveWorker(s.now, testWorker(n+1).ID)
	}
	s.run(9*time.Second, false, func(string) bool { return true })
	status := s.Status()
	assert.Equal(t, status.Unlisted, status.Known)
	assert.Equal(t, status.LongestDownWithRoom, time.Duration(0))
	assert.Assert(t, status.LongestDown >= 5*time.Second, "%v", status.LongestDown)
}

func allAnswer(string) bool { return false }

// A job whose starts are all refused has nothing running though there is room for it.
func TestStatusOfIdleJobWhoseStartsAreRefused(t *testing.T) {
	s := newStatusCell(t)
	submit(s.Cell, "0000000000000001", "q", bamboofall.Step{Count: 3, Size: statusSize, Estimate: time.Minute})
	s.run(9*time.Second, true, allAnswer)
	status := s.Status()
	assert.Equal(t, status.IdleJobs, 1)
	assert.Assert(t, status.LongestIdleWithRoom >= 5*time.Second, "%v", status.LongestIdleWithRoom)
	note := s.lastNote("waiting", "job down")
	assert.Equal(t, note.Task, "0000000000000001.0.0.0")
	assert.Assert(t, strings.Contains(note.Detail, "waiting; workers: "), note.Detail)
	summary := s.lastNote("summary", "")
	assert.Assert(t, strings.Contains(summary.Detail, fmt.Sprintf("idle jobs 1, longest %v", status.LongestIdle)), summary.Detail)
}

func TestStatusOfIdleJobWithoutRoom(t *testing.T) {
	s := newStatusCell(t)
	submit(s.Cell, "0000000000000001", "q", bamboofall.Step{Count: 1, Size: bamboofall.Resources{MilliProcessors: 1 << 30}, Estimate: time.Minute})
	s.run(9*time.Second, false, allAnswer)
	status := s.Status()
	assert.Equal(t, status.IdleJobs, 1)
	assert.Assert(t, status.LongestIdle >= 5*time.Second, "%v", status.LongestIdle)
	assert.Equal(t, status.LongestIdleWithRoom, time.Duration(0))
}

// The status of an idle job starts anew once one of its tasks has run.
func TestStatusOfJobThatRuns(t *testing.T) {
	s := newStatusCell(t)
	submit(s.Cell, "0000000000000001", "q", bamboofall.Step{Count: 3, Size: statusSize, Estimate: time.Minute})
	s.run(5*time.Second, true, allAnswer)
	assert.Equal(t, s.Status().IdleJobs, 1)
	s.run(4*time.Second, false, allAnswer)
	assert.Equal(t, s.Status(), cell.Status{Known: 2, Usable: 2})
}

// The line for a job tells that the owner does not know its queue.
func TestStatusOfIdleJobOfUnknownQueue(t *testing.T) {
	s := newStatusCell(t)
	s.SubmitAccepted(s.now, &bamboofall.Job{ID: "0000000000000001", Queue: "unknown", Steps: []bamboofall.Step{{Count: 1, Size: statusSize, Estimate: time.Second}}}, nil)
	s.run(9*time.Second, false, allAnswer)
	assert.Assert(t, s.Status().LongestIdleWithRoom >= 5*time.Second, "%v", s.Status().LongestIdleWithRoom)
	note := s.lastNote("waiting", "job down")
	assert.Assert(t, strings.Contains(note.Detail, "its queue is not configured"), note.Detail)
}

// BenchmarkStatus measures the status of 490 workers and 3870 standing tasks. With the
// workers unlisted and the leases expired, all tasks are down and no worker has room.
func BenchmarkStatus(b *testing.B) {
	for _, down := range []bool{false, true} {
		b.Run(fmt.Sprintf("down=%t", down), func(b *testing.B) {
			o := newBenchOwner(b, 490, false)
			for range 300 {
				o.submit("batch", bamboofall.Step{Count: 8, Size: bamboofall.Resources{MilliProcessors: 1000, MemoryBytes: 1 << 30}, Standing: true})
			}
			for range 20 {
				o.step(b)
			}
			at := o.now
			if down {
				at = at.Add(2 * time.Hour)
				for n := range 490 {
					o.RemoveWorker(at, fmt.Sprintf("i-%05d", n))
				}
			}
			o.UpdateStatus(at)
			for b.Loop() {
				o.UpdateStatus(at)
			}
			s := o.Status()
			b.ReportMetric(float64(s.Standing), "tasks")
			b.ReportMetric(float64(s.StandingRunning), "running")
		})
	}
}
