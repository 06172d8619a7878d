// Package retry limits retries with a token bucket.
//
// Each request deposits a fraction of a token and each retry withdraws one. If
// every request fails, the load therefore grows by that fraction only, instead of
// by a multiple.
package retry

const (
	// depositPerRequest is the fraction of a token that a request deposits.
	depositPerRequest = 0.1
	// maxBalance is the capacity of the bucket, in retries.
	maxBalance = 20
)

// Budget is a retry budget. Use New.
type Budget struct {
	// balance is the number of retries available.
	balance float64
}

// New returns a budget with a full bucket.
func New() *Budget { return &Budget{balance: maxBalance} }

// Deposit adds the fraction of a token for a new request.
func (b *Budget) Deposit() { b.balance = min(b.balance+depositPerRequest, maxBalance) }

// Withdraw takes a token for a retry. It reports false if there is none.
func (b *Budget) Withdraw() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
