package cell_test

import (
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

var unanswered = &bamboofall.UnknownOutcomeError{Call: "hold", Err: errors.New("no answer in time")}

// zonedCell is a cell whose workers, in several data centres, run one task each.
type zonedCell struct {
	*manualCell
	running map[string]bamboofall.RunningTask
}

func newZonedCell(t *testing.T, zones ...bamboofall.DataCentre) *zonedCell {
	t.Helper()
	s := &zonedCell{manualCell: newManualCell(t), running: make(map[string]bamboofall.RunningTask)}
	for i, zone := range zones {
		s.SetWorker(s.now, bamboofall.Worker{
			WorkerRef: bamboofall.WorkerRef{ID: fmt.Sprintf("i-%d", i+1), Address: netip.MustParseAddrPort("10.0.0.1:80")},
			Born:      testStart, Service: "s", Zone: zone, Room: bamboofall.Resources{MilliProcessors: 32_000, MemoryBytes: 128 << 30},
		})
	}
	submit(s.Cell, "0000000000000009", "q", bamboofall.Step{
		Count: len(zones), Size: bamboofall.Resources{MilliProcessors: 1000}, Standing: true, MaxPerWorker: 1,
	})
	for range 50 {
		s.step()
		open := s.open
		s.open = nil
		for _, o := range open {
			if o.Kind == cell.OrderHold && o.Hold.Wait == 0 {
				s.answer(o)
			} else if o.Kind == cell.OrderStart {
				s.StartAnswered(s.now, o, s.meta(), nil)
				s.running[o.Worker.ID] = bamboofall.RunningTask{Task: o.Start.Task, Run: o.Start.Run, ProgressPercent: 100}
			} else {
				s.open = append(s.open, o)
			}
		}
	}
	return s
}

func (s *zonedCell) answer(o cell.Order) {
	report := bamboofall.HoldReport{ResponseMeta: s.meta()}
	if p, ok := s.running[o.Worker.ID]; ok {
		report.Running = []bamboofall.RunningTask{p}
	}
	s.HoldAnswered(s.now, o, report, nil)
}

// nextHold returns the next hold order of a worker and the time until it came. Orders of
// other workers stay open.
func (s *zonedCell) nextHold(worker string) (cell.Order, time.Duration) {
	s.t.Helper()
	began := s.now
	for range 200 {
		for i, o := range s.open {
			if o.Kind == cell.OrderHold && o.Worker.ID == worker {
				s.open = append(s.open[:i], s.open[i+1:]...)
				return o, s.now.Sub(began)
			}
		}
		s.step()
	}
	s.t.Fatal("no hold order after 200 steps")
	return cell.Order{}, 0
}

// answerNext answers the open hold call of a worker and returns the next one.
func (s *zonedCell) answerNext(worker string) cell.Order {
	s.t.Helper()
	o, _ := s.nextHold(worker)
	s.answer(o)
	o, _ = s.nextHold(worker)
	s.open = append(s.open, o)
	return o
}

// loseNext leaves the open hold call of a worker unanswered and answers the next one.
func (s *zonedCell) loseNext(worker string) {
	s.t.Helper()
	o, _ := s.nextHold(worker)
	s.failOnSilence = false
	s.HoldAnswered(s.now, o, bamboofall.HoldReport{}, unanswered)
	o, _ = s.nextHold(worker)
	s.answer(o)
	s.failOnSilence = true
}

// A lost answer must not shorten the hold calls to all workers. With 490 workers this
// made the owner send five times as many calls.
func TestLostAnswersShortenHoldsInTheirDataCentre(t *testing.T) {
	s := newZonedCell(t, "a", "a", "a", "b")
	const long, short = 2 * time.Second, 400 * time.Millisecond
	assert.Equal(t, s.answerNext("i-1").Hold.Wait, long)
	s.loseNext("i-1")
	assert.Equal(t, s.answerNext("i-1").Hold.Wait, short)
	assert.Equal(t, s.answerNext("i-2").Hold.Wait, long, "shortened after lost answers of a single worker")
	s.loseNext("i-2")
	assert.Equal(t, s.answerNext("i-3").Hold.Wait, short, "not shortened in a data centre that loses answers")
	assert.Equal(t, s.answerNext("i-4").Hold.Wait, long)
	for range 300 {
		s.step()
	}
	assert.Equal(t, s.answerNext("i-3").Hold.Wait, long, "still shortened after lossyWindow")
}

// While the owner is slow, answers are late rather than lost.
func TestLateAnswersToSlowOwnerShortenNoHolds(t *testing.T) {
	s := newZonedCell(t, "a", "a", "a", "b")
	s.ownerDelay = 200 * time.Millisecond
	s.step()
	s.loseNext("i-1")
	s.loseNext("i-2")
	for _, worker := range []string{"i-1", "i-2", "i-3"} {
		assert.Equal(t, s.answerNext(worker).Hold.Wait, 2*time.Second)
	}
}

// Calling as often as before would slow down a slow owner further.
func TestSlowOwnerCallsLessOften(t *testing.T) {
	retry := func(slow time.Duration) time.Duration {
		s := newZonedCell(t, "a")
		s.ownerDelay = slow
		s.failOnSilence = false
		s.step()
		o, _ := s.nextHold("i-1")
		s.HoldAnswered(s.now, o, bamboofall.HoldReport{}, unanswered)
		_, took := s.nextHold("i-1")
		return took
	}
	assert.Equal(t, retry(0), 200*time.Millisecond)
	assert.Equal(t, retry(100*time.Millisecond), 400*time.Millisecond)
	assert.Equal(t, retry(10*time.Second), 800*time.Millisecond, "not the maximum interval")
	rest := func(slow time.Duration) time.Duration {
		s := newZonedCell(t, "a")
		s.ownerDelay = slow
		s.step()
		o, _ := s.nextHold("i-1")
		s.answer(o)
		_, took := s.nextHold("i-1")
		return took
	}
	assert.Equal(t, rest(0), 20*time.Millisecond, "not called at the next step")
	assert.Equal(t, rest(200*time.Millisecond), 200*time.Millisecond, "the pause is not the delay")
	assert.Equal(t, rest(10*time.Second), 300*time.Millisecond, "not the maximum pause")
}
