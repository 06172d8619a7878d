package headroom

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestAccuracyTellsExpectedTailsApart(t *testing.T) {
	var a Accuracy
	a.Judge(0.5, 0.4)
	a.Judge(0.6, 1)
	a.Judge(2, 0.9)
	judged, over := a.Totals()
	assert.Equal(t, judged, int64(3))
	assert.Equal(t, over, int64(1))
	assert.Equal(t, a.String(), "up to 0.5: 0 of 1, up to 0.65: 1 of 1, up to 0.75: 0 of 0, up to 0.85: 0 of 0, up to 0.95: 0 of 0, above: 0 of 1")
}
