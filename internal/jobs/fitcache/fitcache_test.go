package fitcache

import (
	"testing"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/tailtier"
)

func shapeKey(milliProcessors int64) Key {
	return Key{Service: "s", Size: bamboofall.Resources{MilliProcessors: milliProcessors}}
}

func TestShapeIsBlockedUntilNextGain(t *testing.T) {
	shapes := NewShapes()
	s := shapes.Of(shapeKey(1000))
	assert.Assert(t, !s.Blocked(tailtier.Recent, 7))
	s.Block(tailtier.Recent, 7)
	assert.Assert(t, s.Blocked(tailtier.Recent, 7))
	assert.Assert(t, !s.Blocked(tailtier.Waiting, 7), "another tier")
	assert.Assert(t, !s.Blocked(tailtier.Recent, 8), "after a gain")
	assert.Equal(t, s.CheckedGain(tailtier.Recent), uint64(7))
	assert.Assert(t, shapes.Of(shapeKey(1000)) == s)
}

// A larger size of the same class fits nowhere either, if at least as many workers were
// checked for the smaller one.
func TestLargerSizeIsBlockedWithSmallerOne(t *testing.T) {
	shapes := NewShapes()
	small, large := shapes.Of(shapeKey(1000)), shapes.Of(shapeKey(2000))
	small.Block(tailtier.Recent, 7)
	assert.Assert(t, large.Blocked(tailtier.Recent, 7))
	large.Block(tailtier.Recent, 8)
	assert.Assert(t, !small.Blocked(tailtier.Recent, 8))
	late := shapes.Of(shapeKey(3000))
	small.Block(tailtier.Recent, 9) // checked at workers with a gain since 7 only
	assert.Assert(t, !late.Blocked(tailtier.Recent, 9))
	assert.Assert(t, !NewShape(small.size).Blocked(tailtier.Recent, 9), "a shape of its own")
}

func TestCacheIsClearedWhenManyShapesAreIdle(t *testing.T) {
	shapes := NewShapes()
	for n := range int64(maxIdleShapes) {
		shapes.Of(shapeKey(n))
	}
	assert.Assert(t, !shapes.Clear(0))
	shapes.Of(shapeKey(maxIdleShapes))
	assert.Assert(t, !shapes.Clear(1))
	first := shapes.Of(shapeKey(0))
	assert.Assert(t, shapes.Clear(0))
	assert.Assert(t, shapes.Of(shapeKey(0)) != first)
}
