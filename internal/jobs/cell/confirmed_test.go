package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// A data centre is cut off with the owner in it. A successor outside has renewed the
// leases of a worker that the owner does not reach, and the owner, which may act for
// a while yet, once began the runs there again on its own side.
func TestAnOwnerThatIsNotConfirmedTakesNoLeaseForEnded(t *testing.T) {
	for _, confirmed := range []bool{true, false} {
		s := newSite(t, "a", "b", "b")
		lost := "i-1"
		s.noSilence = false
		cut := s.now
		s.SetConfirmed(cut)
		starts := 0
		for s.now.Sub(cut) < 20*time.Second {
			s.step()
			if confirmed {
				s.SetConfirmed(s.now)
			}
			open := s.open
			s.open = nil
			for _, o := range open {
				switch {
				case o.Kind == cell.OrderStart:
					starts++
				case o.Kind == cell.OrderHold && o.Worker.ID == lost:
					s.Held(s.now, o, bamboofall.HoldReport{}, unanswered)
				case o.Kind == cell.OrderHold:
					s.answer(o)
				}
			}
		}
		assert.Equal(t, starts > 0, confirmed, "%d starts", starts)
	}
}
