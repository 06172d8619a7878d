package taskroom

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/admission"
)

var now = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func job(count, repetitions int, first time.Time, interval time.Duration) *bamboofall.Job {
	return &bamboofall.Job{Steps: []bamboofall.Step{{Count: count}}, FirstRun: first, Interval: interval, Repetitions: repetitions}
}

func TestTasksCountsOccurrencesThatAreDueSoon(t *testing.T) {
	for _, c := range []struct {
		job        *bamboofall.Job
		open, next int
		tasks      int
	}{
		{job(7, 0, time.Time{}, 0), 0, 0, 7},
		{job(7, 100_000, time.UnixMilli(0), time.Millisecond), 0, 0, 700_000},
		{job(7, 100_000, now, 0), 0, 0, 700_000},
		{job(7, 100_000, now, time.Hour), 0, 0, 7},
		{job(7, 100_000, now, 10*time.Second), 0, 0, 49},
		{job(7, 100_000, now, 10*time.Second), 2, 3, 42},
		{job(7, 100_000, now.Add(time.Hour), time.Second), 0, 0, 0},
		{job(7, 3, now.Add(-time.Hour), time.Second), 1, 3, 7},
	} {
		assert.Equal(t, Tasks(now, c.job, c.open, c.next), c.tasks, "%+v", c)
	}
}

// Huge jobs are not deferred; ordinary ones are, and again after the window.
func TestDeferralIsBounded(t *testing.T) {
	d := For(184 << 20).Deferral()
	taken := 0
	for range 400 {
		assert.Assert(t, !d.Take(now, job(100_000, 0, time.Time{}, 0)))
		if d.Take(now, job(180, 0, time.Time{}, 0)) {
			taken += Bytes(now, job(180, 0, time.Time{}, 0), 0, 0)
		}
	}
	assert.Assert(t, taken > 0 && taken <= 184<<20/memoryShare/deferralShare)
	assert.Assert(t, d.Take(now.Add(deferralWindow), job(180, 0, time.Time{}, 0)))
}

// A crowd submits jobs of 100,000 short tasks between ordinary jobs. By processor time all
// of them fit: 100 s each on thousands of processors. They would take several times the
// memory of the VM; with the room for tasks, ordinary jobs are accepted to the end.
func TestOrdinaryJobsFitBesideHugeOnes(t *testing.T) {
	room := For(184 << 20)
	const endsAfter = 20 // ordinary jobs are done after as many further submissions
	held, byTime, ordinary := 0, 0, 0
	var ends []int
	load := admission.Load{MilliProcessors: 4_000_000}
	for i := range 400 {
		huge := job(100_000, 0, time.Time{}, 0)
		work := admission.Job{Work: 100 * time.Second, CriticalPath: time.Millisecond, TimeToExpiry: time.Minute, TimeToDue: time.Minute}
		if admission.Decide(load, work).Accept {
			load.WorkAhead += work.Work
			byTime += Bytes(now, huge, 0, 0)
		}
		if room.Fits(now, held, huge) {
			held += Bytes(now, huge, 0, 0)
		}
		if i >= endsAfter {
			held -= ends[i-endsAfter]
		}
		small := job(180, 0, time.Time{}, 0)
		ends = append(ends, 0)
		if room.Fits(now, held, small) {
			ends[i], ordinary = Bytes(now, small, 0, 0), ordinary+1
			held += ends[i]
		}
	}
	assert.Equal(t, ordinary, 400)
	assert.Assert(t, held <= 184<<20/memoryShare, "%d bytes", held)
	assert.Assert(t, byTime > 10*184<<20, "admission by processor time alone accepts %d bytes", byTime)
}

// What was not deferred after all does not count, but what was given back late does not make
// room in a later window.
func TestJobThatWasNotDeferredIsGivenBack(t *testing.T) {
	d := For(184 << 20).Deferral()
	small := job(180, 0, time.Time{}, 0)
	for range 1000 {
		assert.Assert(t, d.Take(now, small))
		d.GiveBack(now, small)
	}
	assert.Assert(t, d.Take(now, small))
	later := now.Add(deferralWindow)
	assert.Assert(t, d.Take(later, small))
	taken := d.taken
	d.GiveBack(now, small)
	assert.Equal(t, d.taken, taken)
}
