// Package recordpb holds the generated code of the records in the log.
// The source is the .proto file beside it; buf generate at the root of the
// repository makes the code anew.
package recordpb
