package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// A partition cuts off a data centre with the owner in it. A successor outside renews the
// leases of a worker that the owner cannot reach. The owner may act for a while longer,
// and must not start that worker's tasks again: without a confirmed claim it cannot know
// that the leases expired.
func TestUnconfirmedOwnerRestartsNothingAfterLeaseExpiry(t *testing.T) {
	for _, confirmed := range []bool{true, false} {
		s := newZonedCell(t, "a", "b", "b")
		lost := "i-1"
		s.failOnSilence = false
		cut := s.now
		s.SetClaimConfirmed(cut)
		starts := 0
		for s.now.Sub(cut) < 20*time.Second {
			s.step()
			if confirmed {
				s.SetClaimConfirmed(s.now)
			}
			open := s.open
			s.open = nil
			for _, o := range open {
				switch {
				case o.Kind == cell.OrderStart:
					starts++
				case o.Kind == cell.OrderHold && o.Worker.ID == lost:
					s.HoldAnswered(s.now, o, bamboofall.HoldReport{}, unanswered)
				case o.Kind == cell.OrderHold:
					s.answer(o)
				}
			}
		}
		assert.Equal(t, starts > 0, confirmed, "%d starts", starts)
	}
}
