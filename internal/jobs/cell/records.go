package cell

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/crashloop"
	"bamboofall.example/bamboofall/internal/jobs/jobspec"
	"bamboofall.example/bamboofall/internal/jobs/pressure"
	"bamboofall.example/bamboofall/internal/jobs/recordsize"
	"bamboofall.example/bamboofall/internal/jobs/stage"
	"bamboofall.example/bamboofall/internal/wire/jobpb"
)

// Key prefixes of the store records, by record type.
const (
	keyJob      = "j"
	keyProgress = "p"
	keyWorker   = "w"
	keyLearned  = "l"
)

// learnedInterval is the time between records of the learned state. They are written
// together with other records, never alone.
const learnedInterval = 3 * time.Second

// pendingRecords holds the records to write with the next flush, the latest one for each
// key.
type pendingRecords struct {
	// nextFlush is the number of the next flush, storedFlush the last one that is in the
	// store.
	nextFlush   uint64
	storedFlush uint64
	// specs holds the new jobs, jobs those with changed progress, workers those with
	// changed records. deleted holds keys to delete.
	specs   map[bamboofall.JobID]*job
	jobs    map[bamboofall.JobID]*job
	deleted map[string]bool
	workers map[string]*worker
	// unstoredStates holds the job states that were flushed but are not known to be
	// stored, in flush order.
	unstoredStates []stateChange
	// unstoredJobs holds the accepted jobs that were flushed but are not known to be stored,
	// in flush order.
	unstoredJobs []unstoredJob
}

// unstoredJob is a job whose specification is part of a flush.
type unstoredJob struct {
	flush uint64
	job   *job
}

// stateChange is a job state that becomes visible once a flush is stored.
type stateChange struct {
	flush uint64
	job   *job
	state bamboofall.JobState
}

func newPendingRecords() pendingRecords {
	return pendingRecords{
		nextFlush: 1,
		specs:     make(map[bamboofall.JobID]*job), jobs: make(map[bamboofall.JobID]*job),
		deleted: make(map[string]bool), workers: make(map[string]*worker),
	}
}

func (p *pendingRecords) touch(j *job) {
	p.jobs[j.ID] = j
	j.stateFlush = p.nextFlush
}

func (p *pendingRecords) add(j *job) {
	p.specs[j.ID] = j
	delete(p.deleted, keyJob+string(j.ID))
	delete(p.deleted, keyProgress+string(j.ID))
	p.touch(j)
}

func (p *pendingRecords) forget(id bamboofall.JobID) {
	delete(p.specs, id)
	delete(p.jobs, id)
	p.deleted[keyJob+string(id)] = true
	p.deleted[keyProgress+string(id)] = true
}

func (p *pendingRecords) empty() bool {
	return len(p.specs) == 0 && len(p.jobs) == 0 && len(p.deleted) == 0 && len(p.workers) == 0
}

// Flush returns the records to store and the flush number to pass to Stored afterwards.
// It returns no records if nothing has changed.
func (c *Cell) Flush() ([]bamboofall.StoreRecord, uint64, error) {
	p := &c.pending
	if p.empty() {
		return nil, 0, nil
	}
	var out []bamboofall.StoreRecord
	add := func(key string, m proto.Message) error {
		value, err := proto.Marshal(m)
		if err != nil {
			return fmt.Errorf("encode record %s: %w", key, err)
		}
		out = append(out, bamboofall.StoreRecord{Key: key, Value: value})
		return nil
	}
	if c.learnedDue {
		c.learnedDue = false
		if err := add(keyLearned, recordsize.Learned(c.durations, c.pressure, c.cfg.MaxRecordBytes)); err != nil {
			return nil, 0, err
		}
	}
	for id, w := range p.workers {
		m := encodeWorker(w, w.recordClosed)
		c.encodeLeasesEnd(w, m)
		if err := add(keyWorker+id, m); err != nil {
			return nil, 0, err
		}
	}
	for id, j := range p.specs {
		if err := add(keyJob+string(id), encodeJob(j)); err != nil {
			return nil, 0, err
		}
		p.unstoredJobs = append(p.unstoredJobs, unstoredJob{p.nextFlush, j})
	}
	for id, j := range p.jobs {
		m := encodeProgress(j)
		if recordsize.TrimProgress(m, c.cfg.MaxRecordBytes) {
			c.note(Note{Event: "progress trimmed", Job: id, Routine: true, Detail: "its record leaves out starts or checkpoints, as it is too large"})
		}
		if err := add(keyProgress+string(id), m); err != nil {
			return nil, 0, err
		}
		if j.state.Ended() {
			p.deleted[keyJob+string(id)] = true
		}
		if j.state != j.visibleState {
			p.unstoredStates = append(p.unstoredStates, stateChange{p.nextFlush, j, j.state})
		}
	}
	for key := range p.deleted {
		out = append(out, bamboofall.StoreRecord{Key: key})
	}
	slices.SortStableFunc(out, func(a, b bamboofall.StoreRecord) int { return strings.Compare(a.Key, b.Key) })
	clear(p.workers)
	clear(p.specs)
	clear(p.jobs)
	clear(p.deleted)
	p.nextFlush++
	return out, p.nextFlush - 1, nil
}

// Stored records that all flushes up to a number are in the store.
func (c *Cell) Stored(now time.Time, flush uint64) {
	p := &c.pending
	p.storedFlush = max(p.storedFlush, flush)
	n := 0
	for _, s := range p.unstoredStates {
		if s.flush > p.storedFlush {
			break
		}
		s.job.visibleState = s.state
		n++
	}
	p.unstoredStates = p.unstoredStates[n:]
	for len(p.unstoredJobs) > 0 && p.unstoredJobs[0].flush <= p.storedFlush {
		j := p.unstoredJobs[0].job
		if j.state.Ended() {
			j.dropPayload()
		}
		c.passStage(j, stage.Acceptance, now.Sub(j.accepted))
		p.unstoredJobs = p.unstoredJobs[1:]
	}
	c.orderStoredStarts(now)
	c.holdStoredEnds(now)
}

// IsStored reports whether a flush is in the store.
func (c *Cell) IsStored(flush uint64) bool { return flush <= c.pending.storedFlush }

func encodeJob(j *job) *jobpb.Job {
	m := jobspec.Encode(j.Job)
	m.AcceptedUnixMs = jobspec.UnixMS(j.accepted)
	m.Settings = jobspec.EncodeQueue(j.queue)
	return m
}

// queueOf returns the queue of a restored job with its configured settings, or with those
// stored with the job if the queue was removed.
func (c *Cell) queueOf(m *jobpb.Job) *bamboofall.Queue {
	if q := c.queues[m.GetQueue()]; q != nil {
		return q
	}
	return jobspec.DecodeQueue(m.GetQueue(), m.GetSettings())
}

func encodeProgress(j *job) *jobpb.Progress {
	m := &jobpb.Progress{
		State: uint32(j.state), OccurrencesDone: uint32(j.doneCount), EndedUnixMs: jobspec.UnixMS(j.endedAt),
		Queue: j.Job.Queue, Started: j.started,
	}
	if j.state.Ended() {
		return m
	}
	for _, o := range j.occurrences {
		out := &jobpb.Occurrence{Number: uint32(o.number)}
		for _, s := range o.steps {
			out.Steps = append(out.Steps, encodeStep(s))
		}
		m.Open = append(m.Open, out)
	}
	return m
}

func encodeStep(s *step) *jobpb.StepProgress {
	m := &jobpb.StepProgress{Released: s.released}
	if s.tasksLeft < s.Count {
		m.Done = make([]byte, (s.Count+7)/8)
	}
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.done {
			m.Done[i/8] |= 1 << (i % 8)
			continue
		}
		failed, checkpoint := t.failedRuns, t.checkpoint
		if s.gang != nil && i == 0 {
			failed, checkpoint = s.gang.failedRuns, s.gang.checkpoint
		}
		crashed, suspect := t.crashes.Runs(), t.crashes.Suspect()
		starts := encodeStarts(t)
		if len(failed) > 0 || len(crashed) > 0 || suspect || len(starts) > 0 || checkpoint != "" {
			m.Tasks = append(m.Tasks, &jobpb.Task{
				Index: uint32(i), FailedRuns: failed, Checkpoint: checkpoint, CrashedRuns: crashed, Suspect: suspect, Starts: starts,
			})
		}
	}
	if s.gang != nil {
		// Earlier builds take the state of the gang from the last of its tasks.
		slices.Reverse(m.Tasks)
	}
	return m
}

// RecordError reports a store record that could not be restored.
type RecordError struct {
	Key string
	Err error
}

func (e *RecordError) Error() string { return fmt.Sprintf("restore record %q: %v", e.Key, e.Err) }

// Unwrap returns the underlying error.
func (e *RecordError) Unwrap() error { return e.Err }

// Restore loads the records of former owners. It must be called after SetConfiguration
// and before any other method. It returns an error for each record that it skipped.
func (c *Cell) Restore(now time.Time, records []bamboofall.StoredRecord) []error {
	var errs []error
	specs := make(map[string]*jobpb.Job)
	progress := make(map[string]*jobpb.Progress)
	workers := make(map[string]*jobpb.Worker)
	for _, r := range records {
		if r.Key == "" || len(r.Value) == 0 {
			continue
		}
		var err error
		id := r.Key[1:]
		switch r.Key[:1] {
		case keyJob:
			m := &jobpb.Job{}
			err = proto.Unmarshal(r.Value, m)
			specs[id] = m
		case keyProgress:
			m := &jobpb.Progress{}
			err = proto.Unmarshal(r.Value, m)
			progress[id] = m
		case keyWorker:
			m := &jobpb.Worker{}
			if err = proto.Unmarshal(r.Value, m); err == nil {
				err = c.restoreWorker(id, m)
			}
			workers[id] = m
		case keyLearned:
			err = c.restoreLearned(r.Value)
		}
		if err != nil {
			errs = append(errs, &RecordError{r.Key, err})
		}
	}
	for id, p := range progress {
		if err := c.restoreJob(now, id, specs[id], p); err != nil {
			errs = append(errs, &RecordError{keyProgress + id, err})
		}
	}
	for _, w := range c.workerList {
		if err := c.restoreRuns(now, w, workers[w.info.ID].GetRuns()); err != nil {
			errs = append(errs, &RecordError{keyWorker + w.info.ID, err})
		}
	}
	for id, p := range progress {
		c.restoreJobStarts(c.jobs[bamboofall.JobID(id)], p)
	}
	slices.SortFunc(c.ended, func(a, b *job) int { return a.endedAt.Compare(b.endedAt) })
	c.restoredAt, c.unreportedEnd = now, c.cfg.FormerLeasesEnd
	c.recovering = len(c.workers) > 0
	c.placementDue = true
	return errs
}

func (c *Cell) restoreJob(now time.Time, id string, spec *jobpb.Job, p *jobpb.Progress) error {
	state := bamboofall.JobState(p.GetState())
	if state < bamboofall.JobQueued || state > bamboofall.JobCancelled {
		return fmt.Errorf("invalid job state %d", p.GetState())
	}
	if spec == nil {
		if !state.Ended() {
			return fmt.Errorf("the job is %v but the record of its steps is missing", state)
		}
		spec = &jobpb.Job{Id: id, Queue: p.GetQueue()}
	}
	j := c.newJob(jobspec.Decode(spec), c.queueOf(spec), jobspec.FromUnixMS(spec.GetAcceptedUnixMs()))
	j.state, j.visibleState, j.started = state, state, p.GetStarted()
	j.doneCount = int(p.GetOccurrencesDone())
	j.nextOccurrence = j.doneCount + len(p.GetOpen()) // each that was opened is done or open
	c.jobs[j.ID] = j
	if state.Ended() {
		j.endedAt = jobspec.FromUnixMS(p.GetEndedUnixMs())
		c.ended = append(c.ended, j)
		c.countBytes(now, j)
		return nil
	}
	c.addOpen(j)
	for _, m := range p.GetOpen() {
		o := j.openOccurrence(int(m.GetNumber()))
		for i, sm := range m.GetSteps() {
			if i < len(o.steps) {
				restoreStep(o.steps[i], sm)
			}
		}
		c.reopen(now, o)
	}
	if j.nextOccurrence < j.Occurrences() {
		c.recurring[j] = true
	}
	c.countBytes(now, j)
	return nil
}

func restoreStep(s *step, m *jobpb.StepProgress) {
	s.released = m.GetReleased()
	done := m.GetDone()
	for i := range s.tasks {
		if i/8 < len(done) && done[i/8]&(1<<(i%8)) != 0 {
			s.tasks[i].done = true
			s.tasksLeft--
		}
	}
	for _, t := range m.GetTasks() {
		if int(t.GetIndex()) >= len(s.tasks) {
			continue
		}
		task := &s.tasks[t.GetIndex()]
		task.crashes = crashloop.Restore(t.GetCrashedRuns(), t.GetSuspect())
		task.lastRun = highestRun(t.GetCrashedRuns())
		if s.gang != nil {
			if t.GetIndex() == 0 {
				s.gang.failedRuns, s.gang.checkpoint = t.GetFailedRuns(), t.GetCheckpoint()
				s.gang.run = highestRun(t.GetFailedRuns())
			}
			continue
		}
		task.failedRuns, task.checkpoint = t.GetFailedRuns(), t.GetCheckpoint()
		task.lastRun = max(task.lastRun, highestRun(t.GetFailedRuns()))
	}
}

// reopen recomputes the unfinished dependencies of a restored occurrence and makes its
// ready steps wait for workers.
func (c *Cell) reopen(now time.Time, o *occurrence) {
	for _, s := range o.steps {
		if s.tasksLeft == 0 {
			o.stepsLeft--
		}
	}
	for _, s := range o.steps {
		s.unfinishedDeps = 0
		for _, a := range s.After {
			if o.steps[a].tasksLeft > 0 {
				s.unfinishedDeps++
			}
		}
	}
	c.openReadySteps(now, o)
}

func (c *Cell) restoreLearned(data []byte) error {
	m := &jobpb.Learned{}
	if err := proto.Unmarshal(data, m); err != nil {
		return err
	}
	c.durations.Restore(m.GetRunTimeRatios(), m.GetRunTimeSpread())
	c.pressure.Restore(pressure.DecodeFits(m.GetFits()))
	return nil
}
