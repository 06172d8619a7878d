package sim

// Leave stops the worker for good. Its open connections are closed, later ones are refused,
// and the platform does not list it any more.
func (x *Worker) Leave() {
	x.up, x.returning, x.refusing, x.unlisted = false, true, true, true
	for _, wake := range x.holdWaiters {
		x.world.schedule(0, wake)
	}
	x.dropRuns()
	x.incarnation++
	if x.world.cell != nil {
		x.world.cell.RemoveWorker(x.world.now, x.ID())
	}
}
