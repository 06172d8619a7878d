// Package sim simulates a cell, that is, a set of jobs and the workers that run
// them, with its store and its callers in virtual time.
//
// Workers hold leases on their own clocks, reject orders with an old fencing token,
// run tasks that fail, stall or interfere with each other, and report ends of runs
// until these are acknowledged. Calls take time, overtake each other, are lost in
// either direction, and may be executed late. Only reports name the process of a worker, and
// its announcements arrive late, so that a worker can restart under its ID without the
// owner's notice. The store keeps the latest record of
// each key. The owner of the cell, which makes the scheduling decisions, can be
// replaced at any time by one that knows only what was stored.
//
// Optionally relays delay or lose calls, so that their outcome is unknown and reports arrive
// after the owner has given them up.
//
// Optionally the owner runs on a VM with limited processor and link capacity. Its
// work is then queued for the processor and the link, and calls time out by the
// owner's clock.
//
// Tasks can be made deadly: each worker that starts one crashes. It returns under its
// ID or under another one, at the same or another address.
//
// The simulation audits what workers do: no task runs twice at the same time or
// after its completion was acknowledged, none starts before the steps that it
// depends on are completed or after its cancellation was confirmed, no worker gets
// more tasks than fit its capacity, no deadly task is started again and again, and no
// job is shown as failed without a cause. World.AuditRunnable adds an audit that accepted
// tasks run which could. Equal seeds give equal results.
package sim
