// Package dispatch decides which entry VM carries the orders of which worker,
// and what becomes of orders that are under way by another VM.
//
// One owner decides for all workers, but its processor and link need not carry
// all calls. It calls as many workers itself as it can carry; the orders for the
// others go in batches to other entry VMs, the relays. A Table says which worker
// goes which way, a Book keeps the orders that relays have.
//
// It does no input or output and has no goroutine.
package dispatch
