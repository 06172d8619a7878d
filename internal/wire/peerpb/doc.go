// Package peerpb holds the generated code of the protocol between entry VMs.
// The source is the .proto file beside it; buf generate at the root of the
// repository makes the code anew.
package peerpb
