package admission

const (
	// initialUsable and initialUsableIdle are assumed before an owner has seen its workers
	// full, for tasks that reserve their processors and for best-effort tasks.
	initialUsable     = 0.9
	initialUsableIdle = 0.8
	// usableWeight is the weight of a sample.
	usableWeight = 0.2
)

// UsableShare is the learned share of the processors left by standing tasks that other tasks
// get while more of them wait. Whole tasks leave gaps, and bounds on the tail latency of
// serving tasks leave best-effort tasks less than what is idle. As a share it holds for the
// room that is left when workers are lost, and for what comes back.
type UsableShare struct{ learned float64 }

// NewUsableShare returns a share that has learned nothing.
func NewUsableShare(bestEffort bool) UsableShare {
	if bestEffort {
		return UsableShare{initialUsableIdle}
	}
	return UsableShare{initialUsable}
}

// Of returns the part of a number of processors that tasks get.
func (u UsableShare) Of(processors float64) float64 { return u.learned * processors }

// Observe adds a sample, taken while tasks wait: the processors that others like them use and
// all those left by standing tasks.
func (u *UsableShare) Observe(used, all float64) {
	if all <= 0 {
		return
	}
	u.learned += usableWeight * (min(1, used/all) - u.learned)
}
