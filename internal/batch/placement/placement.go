// Package placement selects a worker for a task.
//
// Only workers with enough free resources in every dimension are considered. Their
// score prefers the best fit, so that space for large tasks remains elsewhere. It keeps
// tasks without accelerators off workers with accelerators, spreads the tasks of a run
// over racks, and avoids workers with services that the task would slow.
package placement

import "bamboofall.example/bamboofall"

// The weights of the terms of a score, relative to the fit, which is between 0 and 1.
const (
	// rackWeight is subtracted for each task of the run on the same rack.
	rackWeight = 0.2
	// acceleratorWeight is subtracted if the task would not use the worker's
	// accelerators.
	acceleratorWeight = 2.0
)

// Worker is a candidate for a task.
type Worker struct {
	ID   bamboofall.VMID
	Rack string
	// Capacity is the amount of resources that the worker has for batch tasks, and Free
	// the unused part of it.
	Capacity bamboofall.Resources
	Free     bamboofall.Resources
	// Inflation is the predicted inflation, with the task, of the most affected service
	// on the worker: its latency divided by its usual latency, minus 1.
	Inflation float64
	// TasksOnRack is the number of tasks of the same run on the worker's rack.
	TasksOnRack int
}

// Request describes the task to place.
type Request struct {
	// Size is the amount of resources that the task needs.
	Size bamboofall.Resources
	// InflationWeight is the weight of Worker.Inflation in the score, relative to the fit.
	InflationWeight float64
	// MaxInflation is the inflation above which a worker is not considered.
	MaxInflation float64
}

// Choose returns the index of the worker with the highest score, or -1 if no worker can
// take the task.
func Choose(req Request, workers []Worker) int {
	best, bestScore := -1, 0.0
	for i := range workers {
		w := &workers[i]
		if !req.Size.Fits(w.Free) || w.Inflation > req.MaxInflation {
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
	remaining := w.Free.Sub(req.Size)
	fill := 1 - max(
		fraction(remaining.MilliProcessors, w.Capacity.MilliProcessors),
		fraction(remaining.MemoryBytes, w.Capacity.MemoryBytes),
	)
	score := fill - req.InflationWeight*w.Inflation - rackWeight*float64(w.TasksOnRack)
	if req.Size.Accelerators == 0 && w.Capacity.Accelerators > 0 {
		score -= acceleratorWeight
	}
	return score
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
