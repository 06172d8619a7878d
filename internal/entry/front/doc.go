// Package front implements the server of an entry VM.
//
// A cell is a set of jobs and the workers that run their tasks. Its owner is the entry
// VM that makes its scheduling decisions. The epoch, a number that increases with every
// claim of the cell, fences the writes and the orders of former owners.
//
// All entry VMs run the same code. Each serves callers' requests, tracks the
// configuration and the owner of the cell, and can become the owner itself. A request
// about a job is passed to the owner, by RPC if that is another VM. While no owner can
// be reached, submissions and cancellations are stored in an inbox in the platform's
// store and accepted. The next owner applies the inbox before it serves requests.
//
// The owner decides about all orders to workers. Orders that exceed the capacity of its
// own processor and link are sent by other entry VMs, the relays.
//
// The owner's loop connects the cell, a state machine, with the store and the workers.
// Other goroutines pass events to the loop through a bounded queue. The long-running
// goroutines of a VM form one group that stops together.
package front
