// Package recordpb holds the generated code of the records in the log.
//
// The source is record.proto in this directory. To regenerate the code, run
// "buf generate" in the root directory of the repository.
package recordpb
