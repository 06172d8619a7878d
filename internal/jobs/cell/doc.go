// Package cell schedules a cell: a set of jobs and the workers that run their tasks.
//
// A cell has one owner at a time. The owner's epoch fences its writes to the store, and its
// orders carry tokens of that epoch, so an order of a former owner that is still in
// flight cannot contradict those of its successor. Within the epoch the tokens of a worker's
// orders rise after each order that must not be executed after later ones: one that
// acknowledges run ends, one that was not answered, and any to a process that has ended.
//
// State that must survive is stored before it takes effect: a job before it is accepted,
// the release of a step before the first of its tasks is started, the end of a run before
// the worker may forget it. The placement of tasks is not stored, as the workers know it:
// a new owner first asks every worker, with its token, what it runs. A released task that
// no worker reports may still be running at a worker that has not answered, so it waits
// until that worker's leases have expired. The record of a worker at which nothing is started
// any more, as it is silent or drains, is closed: it lists the runs that may exist there, and
// only their tasks wait.
//
// A cell is a deterministic state machine: it is given events with the current time and
// returns orders. It does no input or output and starts no goroutines.
//
// Terms: a step is a group of equal tasks, and an attempt is one run of a task at a
// worker. Standing tasks run until their job is cancelled. Serving tasks have a
// tail-latency target. Best-effort tasks (Step.BestEffort) reserve no CPU and use what
// the others leave; they are throttled when they disturb serving tasks. A hold call
// renews the leases of a worker's runs, acknowledges stored run ends, and returns the
// runs and the ends that are not yet acknowledged; the worker may delay its answer until
// a run ends. A probe is a hold call that renews nothing and does not wait.
package cell
