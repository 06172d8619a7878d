// Package fitcache remembers which shapes of tasks fit at no worker, so that thousands of
// waiting tasks are not checked against all workers again and again.
//
// Events after which more tasks may fit at a worker are called gains and are numbered by
// the caller. A shape that fits nowhere as of a gain need only be checked at workers with a
// later gain.
package fitcache

import (
	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/tailtier"
)

// Shape holds the properties of tasks that decide where they fit.
type Shape struct {
	class *class
	size  bamboofall.Resources
	// blockedGain is, by tier, the number of the last gain as of which the shape fitted
	// nowhere, or zero if that was never checked.
	blockedGain [tailtier.Count]uint64
	// BlockedPass is the last placement pass in which a task of the shape fitted nowhere.
	BlockedPass uint64
}

// class groups shapes that differ in size only.
type class struct {
	// lastFailed is, by tier, the smallest size found to fit nowhere since the last gain.
	lastFailed [tailtier.Count]failedFit
}

// failedFit records that, as of a gain, a size fitted at no worker with a gain later than
// since.
type failedFit struct {
	size        bamboofall.Resources
	gain, since uint64
}

// NewShape returns a shape that is not shared.
func NewShape(size bamboofall.Resources) *Shape { return &Shape{class: &class{}, size: size} }

// CheckedGain returns the number of the last gain as of which the shape fitted nowhere, or
// zero if that was never checked.
func (s *Shape) CheckedGain(tier tailtier.Tier) uint64 { return s.blockedGain[tier] }

// Blocked reports whether the shape is known to fit nowhere as of the last gain.
func (s *Shape) Blocked(tier tailtier.Tier, lastGain uint64) bool {
	if s.blockedGain[tier] == lastGain {
		return true
	}
	f := &s.class.lastFailed[tier]
	if f.gain != lastGain || f.since > s.blockedGain[tier] || !f.size.Fits(s.size) {
		return false
	}
	s.blockedGain[tier] = lastGain
	return true
}

// Block records that the shape fits nowhere as of the last gain.
func (s *Shape) Block(tier tailtier.Tier, lastGain uint64) {
	if f := &s.class.lastFailed[tier]; f.gain != lastGain || s.size.MilliProcessors <= f.size.MilliProcessors {
		*f = failedFit{size: s.size, gain: lastGain, since: s.blockedGain[tier]}
	}
	s.blockedGain[tier] = lastGain
}

// Key identifies a shape.
type Key struct {
	Service    string
	Size       bamboofall.Resources
	BestEffort bool
	Label      string
	// Image is set for best-effort tasks only, as it affects which workers fit. Serves
	// tells that they have a tail-latency target.
	Image  string
	Serves bool
}

// maxIdleShapes is the number of unused shapes above which the cache is cleared.
const maxIdleShapes = 4096

// Shapes holds the shapes that tasks share. Use NewShapes.
type Shapes struct {
	shapes  map[Key]*Shape
	classes map[Key]*class
}

// NewShapes returns an empty cache.
func NewShapes() Shapes {
	return Shapes{shapes: make(map[Key]*Shape), classes: make(map[Key]*class)}
}

// Of returns the shape for a key.
func (c *Shapes) Of(key Key) *Shape {
	if shape := c.shapes[key]; shape != nil {
		return shape
	}
	classKey := key
	classKey.Size = bamboofall.Resources{}
	if c.classes[classKey] == nil {
		c.classes[classKey] = &class{}
	}
	shape := &Shape{class: c.classes[classKey], size: key.Size}
	c.shapes[key] = shape
	return shape
}

// Clear empties the cache if it holds many shapes, given that at most a number of them are
// in use. It reports whether it did.
func (c *Shapes) Clear(inUse int) bool {
	if len(c.shapes) <= maxIdleShapes+2*inUse {
		return false
	}
	clear(c.classes)
	clear(c.shapes)
	return true
}
