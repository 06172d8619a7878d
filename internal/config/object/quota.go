package object

import "bamboofall.example/bamboofall"

// WithinQuota reports whether an amount of resources is within a quota. A zero
// dimension of the quota is not bounded.
func WithinQuota(amount, quota bamboofall.Resources) bool {
	within := func(a, q int64) bool { return q == 0 || a <= q }
	return within(amount.MilliProcessors, quota.MilliProcessors) &&
		within(amount.MemoryBytes, quota.MemoryBytes) &&
		within(amount.Accelerators, quota.Accelerators)
}
