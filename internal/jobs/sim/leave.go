package sim

// Leave stops the worker for good. Its open connections are closed, later ones are refused,
// and the platform does not list it any more.
func (x *Worker) Leave() {
	x.up, x.returning, x.refusing, x.unlisted = false, true, true, true
	for _, h := range x.waitingHolds {
		x.world.schedule(0, func() { x.answerHold(h) })
	}
	x.dropRuns()
	x.incarnation++
	x.unlist()
}
