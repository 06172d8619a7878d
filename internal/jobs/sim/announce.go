package sim

import (
	"time"

	"bamboofall.example/bamboofall"
)

// maxAnnounceDelay is the longest time that an announcement takes to reach the store, and from
// there to reach the owner.
const maxAnnounceDelay = 150 * time.Millisecond

// listing is the entry of a worker in the platform's list. Entries are written and read in
// order.
type listing struct {
	// entry is the entry in the store, or nil if there is none. Version counts the changes of
	// it, and readVersion is the version that the present owner has read.
	entry                *bamboofall.Worker
	version, readVersion int
	// unwritten are the entries on their way to the store, with nil for a removal.
	unwritten []*bamboofall.Worker
	// writtenAt is when the last of them arrives.
	writtenAt time.Time
}

func (l *listing) write(entry bamboofall.Worker) {
	l.entry = &entry
	l.version++
}

// announce sends the worker's entry to the store. The owner learns of it later.
func (x *Worker) announce(entry bamboofall.Worker) {
	x.sendEntry(&entry, x.world.announceDelay())
}

// unlist removes the worker's entry from the store.
func (x *Worker) unlist() { x.sendEntry(nil, 0) }

func (x *Worker) sendEntry(entry *bamboofall.Worker, delay time.Duration) {
	l, w := &x.listing, x.world
	l.unwritten = append(l.unwritten, entry)
	l.writtenAt = later(l.writtenAt, w.now.Add(delay))
	w.schedule(l.writtenAt.Sub(w.now), x.writeEntry)
}

// writeEntry writes the next entry once the store answers.
func (x *Worker) writeEntry() {
	l, w := &x.listing, x.world
	if w.StoreDown {
		w.schedule(tick, x.writeEntry)
		return
	}
	l.entry, l.unwritten = l.unwritten[0], l.unwritten[1:]
	l.version++
	w.schedule(w.announceDelay(), x.readEntry)
}

// readEntry makes the owner read the entry, unless it has.
func (x *Worker) readEntry() {
	l, w := &x.listing, x.world
	switch {
	case w.cell == nil || l.readVersion == l.version:
	case w.StoreDown:
		w.schedule(tick, x.readEntry)
	case l.entry == nil:
		l.readVersion = l.version
		w.cell.RemoveWorker(w.now, x.ID())
	default:
		l.readVersion = l.version
		w.cell.SetWorker(w.now, *l.entry)
	}
}

// list makes a new owner read the entry of a worker that the platform lists.
func (x *Worker) list() {
	l := &x.listing
	l.readVersion = l.version
	if l.entry != nil && x.listed() {
		x.world.cell.SetWorker(x.world.now, *l.entry)
	}
}

// announceDelay draws how long an announcement takes to the store, or from there.
func (w *World) announceDelay() time.Duration {
	return time.Millisecond + time.Duration(w.announceRandom.Int64N(int64(maxAnnounceDelay)))
}
