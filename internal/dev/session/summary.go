package session

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/dev/load"
	"bamboofall.example/bamboofall/internal/operator/client"
	"bamboofall.example/bamboofall/internal/standin/audit"
)

// Summary is the result of a session, as counted by the callers and the
// stand-ins.
type Summary struct {
	Requests struct {
		Answered int64            `json:"answered"`
		NotRun   int64            `json:"notRun"`
		Unknown  int64            `json:"unknown"`
		P50MS    float64          `json:"p50Ms"`
		P99MS    float64          `json:"p99Ms"`
		Reasons  map[string]int64 `json:"reasons"`
		// RanTwice, FalseNotRun and Wrong count violations of guarantees. See
		// OnceRanTwice, NotRunRan and Wrong of audit.Figures.
		RanTwice    int64 `json:"ranTwice"`
		FalseNotRun int64 `json:"falseNotRun"`
		Wrong       int64 `json:"wrong"`
	} `json:"requests"`
	Tasks struct {
		Submitted int64 `json:"submitted"`
		Started   int64 `json:"started"`
		Finished  int64 `json:"finished"`
		RanTwice  int64 `json:"ranTwice"`
		Lost      int64 `json:"lost"`
	} `json:"tasks"`
	VMs struct {
		Overcommitted int64 `json:"overcommitted"`
	} `json:"vms"`
	Config struct {
		Revision uint64 `json:"revision"`
	} `json:"config"`
	Log struct {
		Appends int64 `json:"appends"`
		Bytes   int64 `json:"bytes"`
	} `json:"log"`
	// Faults describes violations of guarantees.
	Faults []string `json:"faults"`
}

// summary returns the result so far, without the figures of the audit.
func (s *Session) summary(gen *load.Generator, revision uint64) *Summary {
	sum := &Summary{}
	c := gen.Counts()
	sum.Requests.Answered, sum.Requests.NotRun, sum.Requests.Unknown = c.Answered, c.NotRun, c.Unknown
	sum.Requests.Reasons = c.Reasons
	sum.Requests.P50MS = milliseconds(gen.Latency(50))
	sum.Requests.P99MS = milliseconds(gen.Latency(99))
	sum.Config.Revision = revision
	sum.Log.Appends, sum.Log.Bytes = s.site.Store.Appends()
	sum.Tasks.Submitted, sum.Tasks.Lost = s.countTasks()
	return sum
}

// addAudit adds the figures of the audit.
func (sum *Summary) addAudit(f audit.Figures) {
	sum.Requests.RanTwice, sum.Requests.FalseNotRun, sum.Requests.Wrong = f.OnceRanTwice, f.NotRunRan, f.Wrong
	sum.Tasks.Started, sum.Tasks.Finished, sum.Tasks.RanTwice = f.TasksStarted, f.TasksFinished, f.TasksRanTwice
	sum.VMs.Overcommitted = f.Overcommitted
	sum.Faults = f.Faults
}

// countTasks returns the number of tasks of acknowledged runs, and how many of
// them neither finished nor are listed as unfinished by an entry VM of their
// data centre.
func (s *Session) countTasks() (submitted, lost int64) {
	time.Sleep(settleDelay)
	unfinished := make(map[string]int64)
	for _, dc := range s.site.Deployment.DataCentres {
		for _, run := range s.runsIn(dc) {
			unfinished[run.Run] = int64(run.Tasks["pending"] + run.Tasks["open"])
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, run := range s.submitted {
		submitted += run.tasks
		finished := int64(0)
		for i := range run.tasks {
			if s.site.Audit.TaskEnded(bamboofall.TaskID{Run: name, Index: uint32(i)}) {
				finished++
			}
		}
		// A task that finishes between the two queries counts in both, so the
		// difference may be negative.
		lost += max(run.tasks-finished-unfinished[name], 0)
	}
	return submitted, lost
}

// runsIn returns the runs that an entry VM of a data centre lists.
func (s *Session) runsIn(dc bamboofall.DataCentre) []client.Run {
	for _, e := range s.site.Entries {
		if e.DataCentre != dc {
			continue
		}
		if runs, err := client.New(s.client, e.Callers).Runs(context.Background(), ""); err == nil {
			return runs
		}
	}
	return nil
}

// Broken reports whether a guarantee was violated.
func (sum *Summary) Broken() bool {
	return sum.Requests.RanTwice+sum.Requests.FalseNotRun+sum.Requests.Wrong+
		sum.Tasks.RanTwice+sum.Tasks.Lost+sum.VMs.Overcommitted > 0
}

// WriteJSON writes the summary as JSON.
func (sum *Summary) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(sum); err != nil {
		return fmt.Errorf("write summary: %w", err)
	}
	return nil
}

// WriteText writes the summary as text.
func (sum *Summary) WriteText(w io.Writer) {
	r, t := &sum.Requests, &sum.Tasks
	fmt.Fprintf(w, "requests  answered %d, not run %d, unknown %d, p50 %.1f ms, p99 %.1f ms\n",
		r.Answered, r.NotRun, r.Unknown, r.P50MS, r.P99MS)
	for reason, n := range r.Reasons {
		fmt.Fprintf(w, "          %s: %d\n", reason, n)
	}
	fmt.Fprintf(w, "tasks     submitted %d, started %d, finished %d\n", t.Submitted, t.Started, t.Finished)
	fmt.Fprintf(w, "log       %d appends, %d bytes; configuration revision %d\n", sum.Log.Appends, sum.Log.Bytes, sum.Config.Revision)
	fmt.Fprintf(w, "checks    requests ran twice %d, ran despite outcome notRun %d, wrong answers %d\n", r.RanTwice, r.FalseNotRun, r.Wrong)
	fmt.Fprintf(w, "          tasks ran twice %d, lost %d; VMs overcommitted %d\n", t.RanTwice, t.Lost, sum.VMs.Overcommitted)
	for _, f := range sum.Faults {
		fmt.Fprintf(w, "          %s\n", f)
	}
}
