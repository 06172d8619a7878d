// Package peerpb holds the generated code of the protocol between entry VMs.
//
// The source is peer.proto in this directory. To regenerate the code, run
// "buf generate" in the root directory of the repository.
package peerpb
