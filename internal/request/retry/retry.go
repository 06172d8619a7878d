// Package retry bounds retries by a budget.
//
// Each first attempt earns a fraction of a retry. While everything fails, the
// load grows by that fraction only, instead of a multiple.
package retry

const (
	// earned is the part of a retry that a first attempt earns.
	earned = 0.1
	// reserve is the largest number of retries saved up.
	reserve = 20
)

// Budget is a retry budget. Use New.
type Budget struct {
	saved float64
}

// New returns a budget that is full.
func New() *Budget { return &Budget{saved: reserve} }

// Earn records a first attempt.
func (b *Budget) Earn() { b.saved = min(b.saved+earned, reserve) }

// Spend takes one retry if there is one.
func (b *Budget) Spend() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
