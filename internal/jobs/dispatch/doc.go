// Package dispatch assigns workers to the entry VMs that send them orders and
// tracks the orders that are sent through another VM. Entry VMs are the machines
// that answer callers.
//
// One entry VM, the owner, makes all scheduling decisions, but its processor and
// link may be too small to call every worker. The owner calls as many workers
// itself as its capacity allows. Orders for the remaining workers are sent in
// batches to other entry VMs, the relays, which call the workers and return the
// results. A RoutingTable maps workers to relays; a Tracker tracks the orders of
// each relay until their results arrive.
//
// The package does no I/O and starts no goroutines.
package dispatch
