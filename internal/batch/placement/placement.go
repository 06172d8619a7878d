// Package placement picks a worker for a task.
//
// A worker is fit if its free room takes the task in every dimension. Among
// fit workers the score prefers those that the task fills best, so that large
// work stays placeable, keeps plain work off accelerators, spreads a run over
// racks, and keeps a job away from services that it slows.
package placement

import "bamboofall.example/bamboofall"

// Weights of the parts of a score. The fill part is between 0 and 1.
const (
	rackWeight        = 0.2
	acceleratorWeight = 2.0
)

// Worker is what a choice looks at.
type Worker struct {
	ID   bamboofall.VMID
	Rack string
	// Room is what the worker has for batch work, Free what is left of it.
	Room bamboofall.Resources
	Free bamboofall.Resources
	// Harm is the inflation that the task would add to the services there.
	Harm float64
	// SameRack is the number of tasks of the run on the worker's rack.
	SameRack int
}

// Request is what is to be placed.
type Request struct {
	Size bamboofall.Resources
	// HarmWeight says how much harm counts against a good fill.
	HarmWeight float64
	// MaxHarm is the harm above which a worker is not considered.
	MaxHarm float64
}

// Choose returns the index of the best worker, or -1 if none is fit.
func Choose(req Request, workers []Worker) int {
	best, bestScore := -1, 0.0
	for i := range workers {
		w := &workers[i]
		if !req.Size.Fits(w.Free) || w.Harm > req.MaxHarm {
			continue
		}
		score := scoreOf(req, w)
		if best < 0 || score > bestScore || score == bestScore && w.ID < workers[best].ID {
			best, bestScore = i, score
		}
	}
	return best
}

func scoreOf(req Request, w *Worker) float64 {
	left := w.Free.Sub(req.Size)
	fill := 1 - max(
		share(left.MilliProcessors, w.Room.MilliProcessors),
		share(left.MemoryBytes, w.Room.MemoryBytes),
	)
	score := fill - req.HarmWeight*w.Harm - rackWeight*float64(w.SameRack)
	if req.Size.Accelerators == 0 && w.Room.Accelerators > 0 {
		score -= acceleratorWeight
	}
	return score
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
