package cell_test

import (
	"flag"
	"testing"
)

// runKnownRed enables the tests that KNOWN-RED.txt lists.
var runKnownRed = flag.Bool("red", false, "run the tests that are known to fail")

func skipKnownRed(t *testing.T) {
	t.Helper()
	if !*runKnownRed {
		t.Skip("known to fail, see KNOWN-RED.txt; run with -red")
	}
}
