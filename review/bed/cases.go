package main

// cases holds the cases by name.
var cases = map[string]testCase{
	"crashes": playCrashes,
	"advised": playAdvised,
	"drain":   playDrain,
	"pause":   playPause,
	"images":  playImages,
}
