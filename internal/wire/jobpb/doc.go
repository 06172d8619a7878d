// Package jobpb holds the generated code of the durable records of jobs and of the
// protocol between entry VMs about them.
//
// The source is job.proto in this directory. To regenerate the code, run
// "buf generate" in the root directory of the repository.
package jobpb
