// Package retry bounds retries by a budget.
//
// Each first attempt earns a fraction of a retry. While everything fails, the
// load grows by that fraction only, instead of a multiple.
package retry

const (
	// depositPerRequest is the part of a retry that a first attempt earns.
	depositPerRequest = 0.1
	// maxBalance is the largest number of retries saved up.
	maxBalance = 20
)

// Budget is a retry budget. Use New.
type Budget struct {
	balance float64
}

// New returns a budget that is full.
func New() *Budget { return &Budget{balance: maxBalance} }

// Deposit records a first attempt.
func (b *Budget) Deposit() { b.balance = min(b.balance+depositPerRequest, maxBalance) }

// Withdraw takes one retry if there is one.
func (b *Budget) Withdraw() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
