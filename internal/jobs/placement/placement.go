// Package placement scores workers for a task.
//
// Normal tasks are packed on the workers where they leave the least free capacity,
// so that large tasks still find a whole worker. Serving tasks, which have a
// tail-latency target, are grouped by image (program), so that each best-effort
// image finds workers whose serving tasks it does not disturb; best-effort tasks
// (Step.BestEffort), which use what other tasks leave idle, go where they are expected
// to raise tails least. Some workers are kept free of serving tasks as long as
// possible, since serving tasks stay and would otherwise occupy a part of every
// worker. Workers at which runs have failed lately are avoided, and workers on the
// rack with the task's data are preferred.
package placement

import "bamboofall.example/bamboofall"

// Weights of the parts of a score. The free share and the rank are between 0 and 1.
const (
	rackWeight        = 6.0
	sameImageBonus    = 2.0
	otherImagePenalty = 1.0
	tailWeight        = 3.0
	rankWeight        = 0.5
	failurePenalty    = 1.5
	slowWeight        = 1.0
	// headroomRank is the rank from which on workers are kept free of serving tasks
	// while others have capacity: urgent jobs with large tasks need whole workers,
	// and serving tasks stay for minutes.
	headroomRank    = 0.9
	headroomPenalty = 5.0
)

// TaskKind says how a task shares its worker with others.
type TaskKind uint8

// Values of TaskKind.
const (
	// Normal tasks run to completion on capacity reserved for them.
	Normal TaskKind = iota
	// Serving tasks have a tail-latency target.
	Serving
	// BestEffort tasks use processors that other tasks leave idle.
	BestEffort
)

// Worker is a candidate worker for a task.
type Worker struct {
	// Room is the total capacity of the worker and Free its unreserved part.
	Room, Free bamboofall.Resources
	// OnRack is set if the worker is on the rack that holds the task's data.
	OnRack bool
	// SameImage is set if serving tasks of the task's image run there, OtherImage
	// if serving tasks of other images do.
	SameImage, OtherImage bool
	// Tail is the highest tail latency expected there with the task, relative to
	// the target. It is zero if no serving tasks run there.
	Tail float64
	// Rank is the position of the worker in a fixed order of all workers, from 0 to
	// 1. It is set for serving tasks only.
	Rank float64
	// Failures is the number of consecutive failures.
	Failures int
	// Slowdown is the relative excess of task durations over the expected ones: 0.5 if
	// tasks take half as long again.
	Slowdown float64
}

// Score returns how suitable a worker is for a task of the given size. A higher
// score is better.
func Score(kind TaskKind, size bamboofall.Resources, w Worker) float64 {
	score := -failurePenalty*float64(w.Failures) - slowWeight*max(0, w.Slowdown)
	if w.OnRack {
		score += rackWeight
	}
	freeShare := 1.0
	if w.Room.MilliProcessors > 0 {
		freeShare = float64(w.Free.MilliProcessors-size.MilliProcessors) / float64(w.Room.MilliProcessors)
	}
	switch kind {
	case BestEffort:
		score += freeShare - tailWeight*w.Tail
	case Serving:
		score -= freeShare + rankWeight*w.Rank + tailWeight*w.Tail
		if w.SameImage {
			score += sameImageBonus
		}
		if w.OtherImage {
			score -= otherImagePenalty
		}
		if w.Rank >= headroomRank {
			score -= headroomPenalty
		}
	default:
		score -= freeShare
	}
	return score
}
