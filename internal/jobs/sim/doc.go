// Package sim is a model of what a cell serves: workers, a store and callers, in
// virtual time.
//
// Workers keep leases on clocks of their own, fence by token, run tasks that
// fail, stall or disturb each other, and list ends until they are acknowledged.
// Calls take time, overtake each other, get lost on the way or on the way back,
// and are carried out late. The store keeps the newest record of each key. The
// owner of the cell can be replaced at any moment by one that has only what was
// stored.
//
// An owner may have a VM with so much of a processor and of a link. All that it
// does then waits in one line, and calls time out on its own clock.
//
// The model audits what workers see: no task runs twice at once or after its end
// was acknowledged, none starts before the steps it waits for, none after its
// cancellation was confirmed, and no worker is given more than it holds. Equal
// seeds give equal runs.
package sim
