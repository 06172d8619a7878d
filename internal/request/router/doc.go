// Package router schedules the requests of callers: it queues each request,
// sends it to an upstream instance or forwards it to another entry VM, and
// decides on retries and on the reply.
//
// Router is a state machine without input or output: it takes events together
// with the current time and returns actions for its caller to execute.
//
// The names of a data centre's VMs, runs and keys hash to a fixed number of
// shards, each of which is owned by at most one entry VM. A VM's fence is open
// while it can be sure that no other VM has taken over its shards, as package
// fence describes.
//
// Each idempotency key has a home, the entry VM that decides whether a request
// with that key may run: the owner of the shard to which the trade and the key
// hash, in the data centre that the configuration names as the trade's home.
//
// The router holds these invariants:
//
//   - Only the owner of an instance's shard uses the instance's slots, and only
//     while its fence is open. A slot stays in use until the instance can no
//     longer be working on the request.
//   - A request gets exactly one reply. The outcome NotRun is reported only if
//     no attempt was written to an upstream, or if the upstream refused every
//     attempt before it started.
//   - A request that must run at most once is sent by the home of its key only,
//     and is never sent again after an attempt that may have been written.
//   - A request crosses to another data centre at most once and is then
//     forwarded at most once inside that data centre. The home of a key may
//     forward it one more time if it has no instance of the service.
package router
