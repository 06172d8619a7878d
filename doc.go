// Package bamboofall defines the types that the scheduler's packages share, and
// the interfaces to the platform, its workers and its upstream instances.
//
// The code follows three rules. State that entry VMs must agree on is derived
// deterministically from records in the platform's append-only log. Decisions
// that an entry VM takes by itself are made by state machines without I/O, which
// get the current time as an argument. I/O is confined to adapters below
// internal/.
package bamboofall
