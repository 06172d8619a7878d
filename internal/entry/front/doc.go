// Package front runs an entry VM on the users' platform.
//
// All entry VMs are alike. Each answers callers, follows the configuration and
// the owner of the cell, and may become the owner itself. A call about a job
// goes to the owner, by way of the inner protocol if that is another VM. While
// no owner answers, submissions and cancellations go to an inbox in the store,
// which the next owner reads first, so that they are not refused.
//
// The owner has other entry VMs, the relays, carry the orders to the workers that
// its own processor and link cannot carry. The decisions stay with the owner.
//
// The owner's loop joins the cell, a state machine, to the store and to the
// workers. Each duty has a thread, bounded rings join them, and all threads of
// a VM form one group that stops together.
package front
