// Package scheduler assigns the batch tasks of the shards that this entry VM owns
// to workers.
//
// Scheduler is a state machine without I/O. Its inputs are the ledger's state and
// the workers' reports; its outputs are records to append to the log and syncs to
// make with workers. Its rules are:
//
//   - An attempt is started only after its intent record has been read back from
//     the log, and only by the owner whose token the intent carries.
//   - The end of a lease is a reading of the worker's own clock, so the owner can
//     bound it without comparing clocks: the lease has expired once the lease
//     time and the maximum clock drift have passed since the report with the last
//     clock reading arrived.
//   - An attempt is closed when the worker reports its end, or when its lease has
//     certainly expired. Only then can the next attempt begin.
//   - A new owner gets the list of attempts from each worker before it starts
//     anything there. The sync that returns the list also makes the worker reject
//     requests of the previous owner.
package scheduler
