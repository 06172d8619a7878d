package sim

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bamboofall.example/bamboofall"
)

const (
	// evacuationTime is the time after which nothing may start in an evacuated data centre. An
	// owner that is partitioned from the store does not learn of it and acts for formerOwnerLifetime.
	evacuationTime = formerOwnerLifetime + time.Second
	// maxEvacuationDelay is the longest time until an owner that reaches the store knows of a change.
	maxEvacuationDelay = 500 * time.Millisecond
)

// DataCentre returns the data centre of the worker, or nothing if Config.DataCentres is zero.
func (x *Worker) DataCentre() bamboofall.DataCentre {
	if x.world.cfg.DataCentres == 0 {
		return ""
	}
	return bamboofall.DataCentre(fmt.Sprintf("dc-%d", x.index%x.world.cfg.DataCentres))
}

// Evacuate evacuates a data centre for a time. Evacuations of one data centre may overlap: the
// first end ends them.
func (w *World) Evacuate(dc bamboofall.DataCentre, d time.Duration) {
	if _, evacuated := w.evacuated[dc]; !evacuated {
		w.evacuated[dc] = w.now
	}
	w.announceEvacuations()
	w.schedule(d, func() {
		delete(w.evacuated, dc)
		w.announceEvacuations()
	})
}

// announceEvacuations makes the owner read the evacuated data centres after a delay, and not
// while the store does not answer.
func (w *World) announceEvacuations() {
	w.evacuationChanges++
	change := w.evacuationChanges
	var read func()
	read = func() {
		switch {
		case change != w.evacuationChanges || w.cell == nil: // a new owner reads it itself
		case w.StoreDown:
			w.schedule(tick, read)
		default:
			w.cell.SetEvacuated(w.now, w.evacuatedDataCentres())
		}
	}
	w.schedule(time.Duration(w.announceRandom.Int64N(int64(maxEvacuationDelay))), read)
}

func (w *World) evacuatedDataCentres() []bamboofall.DataCentre {
	return slices.Sorted(maps.Keys(w.evacuated))
}

func (x *Worker) isEvacuated() bool {
	_, evacuated := x.world.evacuated[x.DataCentre()]
	return evacuated
}

// auditEvacuation audits that a start is not in a data centre that has been evacuated for long. Orders
// that a worker carries out late do not count, nor does the time in which no owner can know of it.
func (w *World) auditEvacuation(x *Worker, order bamboofall.StartOrder) {
	since, evacuated := w.evacuated[x.DataCentre()]
	if evacuated && w.now.Sub(later(since, w.storeDownAt)) > evacuationTime && x.LateOrderShare == 0 {
		w.reportViolation("%v: run %d started on %s %v after the evacuation of %s", order.Task, order.Run, x.ID(), w.now.Sub(since), x.DataCentre())
	}
}
