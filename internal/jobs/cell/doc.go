// Package cell decides for a cell: a set of jobs and the workers that run them.
//
// A cell has one owner at a time. The owner's epoch fences its appends to the
// store and is the fencing token of its orders, so a successor is never
// contradicted by an order that is still under way.
//
// What must last is in the store before it has an effect: a job before it is
// accepted, the release of a step before the first of its tasks is started, the
// end of a run before the worker may forget it. Where tasks run is not stored,
// for the workers know it: a new owner first asks every worker, with its token,
// what it runs. A released task that no worker reports may still run at a worker
// that did not answer, so it waits until that worker's leases have ended.
//
// A cell is a state machine. Events come in with the present time, orders go
// out. It does no input or output and has no goroutine.
package cell
