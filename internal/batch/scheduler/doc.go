// Package scheduler runs the batch tasks of the shards that this entry VM owns.
//
// Scheduler is a state machine over the ledger: it reads the ledger's state and
// the workers' reports, and returns records to append and rounds to make with
// workers. Its rules are:
//
//   - An attempt is started only once its intent has been read back, and by
//     the owner under whose token the intent stands.
//   - A lease is granted as a reading of the worker's own clock, so it ends at
//     a moment that the owner can bound without comparing clocks: the arrival
//     of the report with the reading, plus the lease, plus the drift.
//   - An attempt is closed once the worker says that it ended, or once its
//     lease has ended for certain. Only then can the next attempt begin.
//   - A new owner takes each worker's inventory before it starts anything
//     there. The round that takes it fences the old owner at the worker.
package scheduler
