package urgency

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func claim(name string, dueMS, workS int, yield float64) *Claim {
	return &Claim{Name: name, Due: at(dueMS), Work: time.Duration(workS) * time.Second, Open: time.Duration(workS) * time.Second, Processors: float64(workS), Chain: time.Second, Yield: yield}
}

func kept(processors, free float64, claims ...*Claim) []string {
	Keep(start, processors, free, claims)
	var names []string
	for _, c := range claims {
		if !c.Shed {
			names = append(names, c.Name)
		}
	}
	slices.Sort(names)
	return names
}

func TestKeepShedsNothingWithoutBacklog(t *testing.T) {
	assert.DeepEqual(t, kept(10, 10, claim("a", 2000, 10, 1), claim("b", 3000, 10, 2), claim("c", 4000, 10, 3)), []string{"a", "b", "c"})
}

func TestKeepShedsClaimsOfLowestYield(t *testing.T) {
	claims := []*Claim{claim("a", 2000, 10, 2), claim("b", 2500, 10, 1), claim("c", 3000, 10, 3), claim("d", 3000, 10, 4)}
	assert.DeepEqual(t, kept(10, 10, claims...), []string{"a", "c", "d"})
	// Without idle processors one claim fewer can be kept.
	assert.DeepEqual(t, kept(10, 0, claims...), []string{"c", "d"})
}

func TestKeepAccountsForCriticalPath(t *testing.T) {
	long := claim("long", 2000, 1, 9)
	long.Chain = 1990 * time.Millisecond
	assert.DeepEqual(t, kept(10, 5, claim("a", 1500, 5, 1), long), []string{"long"})
}

// A partly done job has less work left and so a higher yield: it is not shed in
// favour of an unstarted job of equal value.
func TestKeepPrefersPartlyDoneJob(t *testing.T) {
	mean := 64 * time.Second
	partlyDone, unstarted := claim("partly done", 2500, 32, 0), claim("an unstarted one", 3000, 64, 0)
	partlyDone.Yield, unstarted.Yield = Yield(mean, partlyDone.Work, mean), Yield(mean, unstarted.Work, mean)
	assert.DeepEqual(t, kept(32, 64, partlyDone, unstarted), []string{"an unstarted one", "partly done"})
	assert.DeepEqual(t, kept(32, 0, partlyDone, unstarted), []string{"partly done"})
}
