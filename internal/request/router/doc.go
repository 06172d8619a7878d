// Package router decides what happens to each request of a caller.
//
// Router is a state machine: it takes events with the present time and returns
// actions, and does no input or output. It holds these invariants:
//
//   - A slot of an instance is spent only by the owner of the instance's shard
//     while its fence is open, and is held until the instance can no longer
//     work on the request.
//   - A request gets exactly one reply. NotRun is said only if no attempt was
//     written to an upstream, or the upstream refused each one before it began.
//   - A request that must run at most once is sent only by its key's home, at
//     most once for all attempts that may have been written.
//   - A request crosses to another data centre at most once, and takes at most
//     one hop inside a data centre after that. One that stands at its key's home
//     may take a second one if the home has no instance.
package router
