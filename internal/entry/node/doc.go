// Package node implements the control plane of an entry VM as a deterministic
// state machine.
//
// A Node combines membership, the fence, the state built from the configuration
// stream and the data centre's ledger stream, shard ownership and the batch
// scheduler. Step takes an event and the current time and returns actions. The
// package does no I/O, starts no goroutines and reads no clock, so that tests can
// run it in virtual time.
//
// It maintains these invariants:
//
//   - A process acts for a shard only after it has read back the record that made
//     it the owner, and only while its fence is open. A shard is taken from an
//     owner that didn't hand it over only after the takeover wait, within which
//     the owner objects or its fence closes.
//   - The state of a stream never moves back to a smaller offset.
//   - An operator is told that a change is in force only after its record was read
//     back from the log.
package node
