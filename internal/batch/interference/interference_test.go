package interference_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall/internal/batch/interference"
)

// Two jobs share VMs in different combinations. If their effects were not separated, the
// calm job would be kept away from services because of the noisy one.
func TestScoresSeparateJobsThatShareVMs(t *testing.T) {
	s := interference.New()
	assert.Assert(t, !s.Known("ledger", "noisy"))
	combinations := []map[string]float64{{"noisy": 2, "calm": 3}, {"noisy": 1}, {"calm": 4}, {"noisy": 3, "calm": 1}}
	for i := range 200 {
		shares := combinations[i%len(combinations)]
		s.Learn("ledger", shares, 0.5*shares["noisy"]+0.02*shares["calm"])
	}
	assert.Assert(t, s.Known("ledger", "noisy"))
	noisy, calm := s.Score("ledger", "noisy"), s.Score("ledger", "calm")
	assert.Assert(t, noisy > 0.45 && noisy < 0.55, "noisy %.3f", noisy)
	assert.Assert(t, calm < 0.05, "calm %.3f", calm)
	worst, ok := s.Worst("ledger", map[string]float64{"noisy": 1, "calm": 10})
	assert.Assert(t, ok && worst == "noisy")
	assert.Equal(t, s.Score("desk", "noisy"), 0.0, "scores of one service do not affect another")
}
