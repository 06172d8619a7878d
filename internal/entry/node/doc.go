// Package node is the control side of an entry VM as a state machine.
//
// Node joins the parts that decide: membership, the fence, the reducers of the
// two streams, shard ownership and the batch scheduler. It takes events with
// the present time and returns actions. It does no input or output, starts no
// goroutine and reads no clock, so whole sessions run in virtual time.
//
// It holds these invariants:
//
//   - A shard is active only between the read-back of the record that moved it
//     to this process and the moment the fence closes. A shard moves from an
//     owner that did not give it away itself only after the takeover wait,
//     in which the owner's fence closes unless it objects.
//   - The state of a stream never goes back to a smaller offset.
//   - Nothing is told to an operator as done before it was read back.
package node
