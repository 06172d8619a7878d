package obstacle_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall/internal/jobs/obstacle"
)

func TestCountsAreOrderedByReason(t *testing.T) {
	c := obstacle.Counts{obstacle.Tail: 4, obstacle.None: 1, obstacle.Room: 20}
	assert.Equal(t, c.String(), "fits 1, noRoom 20, tail 4")
	assert.Equal(t, obstacle.Counts{}.String(), "")
}
