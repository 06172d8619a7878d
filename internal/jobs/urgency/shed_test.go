package urgency

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall/internal/jobs/callercost"
)

func candidate(name string, dueMS, workS int, density float64) *Candidate {
	return &Candidate{Name: name, Due: at(dueMS), RemainingWork: time.Duration(workS) * time.Second, StartableWork: time.Duration(workS) * time.Second, Processors: float64(workS), CriticalPath: time.Second, ValueDensity: density}
}

func kept(processors, free float64, candidates ...*Candidate) []string {
	ShedExcess(start, processors, free, candidates)
	return keptNames(candidates)
}

// keptNames returns the names of the candidates that are not shed, sorted.
func keptNames(candidates []*Candidate) []string {
	var names []string
	for _, c := range candidates {
		if !c.Shed {
			names = append(names, c.Name)
		}
	}
	slices.Sort(names)
	return names
}

func TestShedExcessShedsNothingWithoutBacklog(t *testing.T) {
	assert.DeepEqual(t, kept(10, 10, candidate("a", 2000, 10, 1), candidate("b", 3000, 10, 2), candidate("c", 4000, 10, 3)), []string{"a", "b", "c"})
}

func TestShedExcessShedsCandidatesOfLowestDensity(t *testing.T) {
	candidates := []*Candidate{candidate("a", 2000, 10, 2), candidate("b", 2500, 10, 1), candidate("c", 3000, 10, 3), candidate("d", 3000, 10, 4)}
	assert.DeepEqual(t, kept(10, 10, candidates...), []string{"a", "c", "d"})
	// Without idle processors one candidate fewer can be kept.
	assert.DeepEqual(t, kept(10, 0, candidates...), []string{"c", "d"})
}

func TestShedExcessAccountsForCriticalPath(t *testing.T) {
	long := candidate("long", 2000, 1, 9)
	long.CriticalPath = 1990 * time.Millisecond
	assert.DeepEqual(t, kept(10, 5, candidate("a", 1500, 5, 1), long), []string{"long"})
}

// A partly done job has less work left and so a higher value density: it is not shed in
// favour of an unstarted job of equal value.
func TestShedExcessPrefersPartlyDoneJob(t *testing.T) {
	mean := 64 * time.Second
	partlyDone, unstarted := candidate("partly done", 2500, 32, 0), candidate("an unstarted one", 3000, 64, 0)
	partlyDone.ValueDensity, unstarted.ValueDensity = callercost.Density(mean, partlyDone.RemainingWork, mean), callercost.Density(mean, unstarted.RemainingWork, mean)
	assert.DeepEqual(t, kept(32, 64, partlyDone, unstarted), []string{"an unstarted one", "partly done"})
	assert.DeepEqual(t, kept(32, 0, partlyDone, unstarted), []string{"partly done"})
}

// An owner that starts 20 tasks per second cannot start three jobs of 20 tasks each within a
// second and a half. Starting them by objective alone would make two of them late.
func TestShedExcessStartsShedsWhatOwnerCannotStart(t *testing.T) {
	job := func(name string, dueMS, starts int, density float64) *Candidate {
		c := candidate(name, dueMS, 1, density)
		c.RemainingStarts, c.WaitingStarts = starts, starts
		return c
	}
	keptStarts := func(perSecond float64, candidates ...*Candidate) []string {
		ShedExcessStarts(start, perSecond/usableStarts, candidates)
		return keptNames(candidates)
	}
	jobs := func() []*Candidate {
		return []*Candidate{job("a", 2500, 20, 2), job("b", 2500, 20, 1), job("c", 2500, 20, 3)}
	}
	assert.DeepEqual(t, keptStarts(60, jobs()...), []string{"a", "b", "c"})
	assert.DeepEqual(t, keptStarts(20, jobs()...), []string{"c"})
	assert.DeepEqual(t, keptStarts(30, jobs()...), []string{"a", "c"})

	// A job with few tasks left is kept though it is worth less as a whole.
	assert.DeepEqual(t, keptStarts(20, job("almost done", 2500, 2, 1), job("new", 2500, 30, 3)), []string{"almost done"})

	// Tasks of later steps are not waited for by the critical path.
	later := job("later steps", 2500, 40, 1)
	later.WaitingStarts = 10
	assert.DeepEqual(t, keptStarts(20, later), []string{"later steps"})

	shed := job("shed", 2500, 100, 1)
	shed.Shed = true
	assert.DeepEqual(t, keptStarts(20, shed, job("a", 2500, 20, 1)), []string{"a"})
}
