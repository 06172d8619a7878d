package taskroom

import (
	"time"

	"bamboofall.example/bamboofall"
)

const (
	// deferralWindow is the time in which an entry VM defers deferralShare of its own room,
	// as 1/deferralShare. An owner that comes back cannot refuse what was deferred.
	deferralWindow = 10 * time.Second
	deferralShare  = 8
)

// Deferral bounds the memory of the jobs that an entry VM accepts while no owner can be asked. Use
// Room.Deferral. It is not safe for concurrent use.
type Deferral struct {
	most   int
	opened time.Time
	taken  int
}

// Deferral returns the bound for an entry VM with this room.
func (r Room) Deferral() *Deferral { return &Deferral{most: r.bytes / deferralShare} }

// Take reports whether a job may be deferred, and counts it if so.
func (d *Deferral) Take(now time.Time, job *bamboofall.Job) bool {
	if now.Sub(d.opened) >= deferralWindow {
		d.opened, d.taken = now, 0
	}
	bytes := Bytes(now, job, 0, 0)
	if bytes > d.most-d.taken {
		return false
	}
	d.taken += bytes
	return true
}

// GiveBack undoes Take for a job that was taken at the given time and not deferred.
func (d *Deferral) GiveBack(takenAt time.Time, job *bamboofall.Job) {
	if !takenAt.Before(d.opened) {
		d.taken = max(0, d.taken-Bytes(takenAt, job, 0, 0))
	}
}
