// Package placement picks a worker for a task of a job.
//
// It answers mixed sizes at full load: normal tasks are packed where they leave
// the least room, so that wide tasks still find a whole worker. It answers tasks
// that disturb those that serve: tasks that serve go beside others of their
// image, so that each image that fills finds workers whose tasks it does not
// disturb, and tasks that fill go where they are expected to disturb least. It
// answers tasks that stay and fill every worker a little: some workers are left
// to others as long as possible. Among fit workers it avoids those that have failed lately, and prefers the rack with
// the data.
package placement

import "bamboofall.example/bamboofall"

// Weights of the parts of a score. The fill part and the rank are between 0 and 1.
const (
	rackWeight   = 6.0
	sameBonus    = 2.0
	otherPenalty = 1.0
	tailWeight   = 3.0
	rankWeight   = 0.5
	doubtPenalty = 1.5
	slowWeight   = 1.0
	// headroomRank is the rank from which workers are kept free of tasks that
	// serve while others take them: urgent work of wide tasks needs whole
	// workers, and tasks that serve stay for minutes.
	headroomRank    = 0.9
	headroomPenalty = 5.0
)

// Kind is how a task behaves beside others.
type Kind uint8

// The kinds of tasks.
const (
	// Normal tasks run for a while on room of their own.
	Normal Kind = iota
	// Serving tasks have a tail latency to keep.
	Serving
	// Filling tasks use what others leave.
	Filling
)

// Worker is what a choice looks at.
type Worker struct {
	Room, Free bamboofall.Resources
	// OnRack is set if the worker stands on the rack that the task wants.
	OnRack bool
	// SameImage and OtherImage tell which tasks serve there already.
	SameImage, OtherImage bool
	// Tail is the largest tail that is expected there with the task, as a share
	// of its target. It is zero where nothing serves.
	Tail float64
	// Rank is the place of the worker among all, from 0 to 1.
	Rank float64
	// Doubt is the number of failures in a row.
	Doubt int
	// Slow is how much longer than usual tasks take, minus one.
	Slow float64
}

// Score returns how well a worker suits a task. A larger score is better.
func Score(kind Kind, size bamboofall.Resources, w Worker) float64 {
	score := -doubtPenalty*float64(w.Doubt) - slowWeight*max(0, w.Slow)
	if w.OnRack {
		score += rackWeight
	}
	left := 1.0
	if w.Room.MilliProcessors > 0 {
		left = float64(w.Free.MilliProcessors-size.MilliProcessors) / float64(w.Room.MilliProcessors)
	}
	switch kind {
	case Filling:
		score += left - tailWeight*w.Tail
	case Serving:
		score -= left + rankWeight*w.Rank + tailWeight*w.Tail
		if w.SameImage {
			score += sameBonus
		}
		if w.OtherImage {
			score -= otherPenalty
		}
		if w.Rank >= headroomRank {
			score -= headroomPenalty
		}
	default:
		score -= left
	}
	return score
}
