// Package bamboofall holds the vocabulary of the scheduler and the interfaces
// behind which the platform, its workers and its upstream instances stand.
//
// The model has three rules. Everything that entry VMs must agree on is a
// record in the platform's append-only log, and a record means what the
// deterministic readers make of it. Everything an entry VM decides by itself
// is decided by a pure state machine that takes the present time as an
// argument. Everything else is input and output, and stands in adapters below
// internal/.
package bamboofall
