// Package jobpb holds the durable records of jobs and the protocol between entry
// VMs about them.
package jobpb
