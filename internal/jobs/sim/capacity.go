package sim

import (
	"math"
	"slices"
	"time"

	"bamboofall.example/bamboofall"
)

const (
	// beatInterval is the interval at which a worker announces itself.
	beatInterval = 1100 * time.Millisecond
	// maxMissedBeats is the number of beats without an announcement after which the
	// platform no longer lists a worker.
	maxMissedBeats = 3
	// shrinkGrace is how long a capacity still counts after it has shrunk. An owner
	// learns of the new one within a beat, or loses contact.
	shrinkGrace = 3*time.Second + beatInterval
)

// capacity is the capacity of a worker, and what it has announced of it.
type capacity struct {
	room bamboofall.Resources
	// listed is the capacity that the platform lists, listedBy the start of the
	// incarnation that announced it, and listedAt the time on the worker's clock.
	listed   bamboofall.Resources
	listedBy time.Time
	listedAt time.Duration
	// former holds the capacities before room that still count.
	former []formerRoom
	// changed is set while the present capacity has not been announced, and missedBeats
	// counts the announcements since that did not get through.
	changed     bool
	missedBeats int
}

// formerRoom is a former capacity of a worker with the time until which it counts.
type formerRoom struct {
	room  bamboofall.Resources
	until time.Time
}

// Room returns the present capacity of the worker.
func (x *Worker) Room() bamboofall.Resources { return x.capacity.room }

// Resize changes the capacity of the worker, which announces it at its next beat. What
// runs there goes on.
func (x *Worker) Resize(room bamboofall.Resources) {
	c := &x.capacity
	x.listedRoom()
	c.former = append(c.former, formerRoom{c.room, x.world.now.Add(shrinkGrace)})
	c.room, c.changed = room, true
}

// startBeats makes the worker announce itself at every beat.
func (x *Worker) startBeats() {
	const phase = 0.38 // spreads the workers evenly over the interval
	_, share := math.Modf(phase * float64(x.index+1))
	x.world.schedule(time.Duration(share*float64(beatInterval)), x.beat)
}

// beat announces the present capacity. A worker counts as silent only with a change that
// it cannot announce, as other faults unlist the workers that they stop.
func (x *Worker) beat() {
	w, c := x.world, &x.capacity
	if x.draining {
		return // its last announcement stays
	}
	w.schedule(beatInterval, x.beat)
	if !x.up || x.Partitioned || w.StoreDown {
		if c.changed {
			c.missedBeats++
		}
		if c.missedBeats == maxMissedBeats && !w.StoreDown {
			x.unlisted = true
			x.unlist()
		}
		return
	}
	c.changed, c.missedBeats, x.unlisted = false, 0, false
	c.listed, c.listedBy, c.listedAt = c.room, x.born, x.clock()
	x.announce(x.announcement())
}

// listedRoom returns the capacity that the platform lists. A worker that has restarted
// announces its present one at once.
func (x *Worker) listedRoom() bamboofall.Resources {
	c := &x.capacity
	if !c.listedBy.Equal(x.born) {
		c.listed, c.listedBy, c.listedAt = c.room, x.born, x.clock()
	}
	return c.listed
}

// countedRoom returns the largest capacity that still counts for a start now.
func (x *Worker) countedRoom() bamboofall.Resources {
	c := &x.capacity
	c.former = slices.DeleteFunc(c.former, func(f formerRoom) bool { return !x.world.now.Before(f.until) })
	room := c.room
	for _, f := range c.former {
		room = room.Max(f.room)
	}
	return room
}

// Free returns the capacity that the runs at the worker leave.
func (x *Worker) Free() bamboofall.Resources {
	free := x.countedRoom()
	for _, r := range x.runs {
		free = free.Sub(reservedResources(r.step))
	}
	return free
}
