package dispatch

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"
)

var compareAddresses = cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })

var errStale = errors.New("stale")

func sendAll(string) error { return nil }

const orderTimeout = 400 * time.Millisecond

func TestOrdersQueuedDuringUnackedBatchesShareNextBatch(t *testing.T) {
	b := NewBook[string](orderTimeout)
	add := func(order string) { assert.Assert(t, b.Add(address(1), order, 0)) }
	add("a")
	first, _ := b.Batch(at(0), address(1), sendAll)
	assert.DeepEqual(t, first, []Order[string]{{1, "a"}})
	add("b")
	_, _ = b.Batch(at(1), address(1), sendAll)
	add("c")
	add("d")
	assert.Equal(t, len(b.Ready()), 0, "two batches are unacknowledged")
	b.Acknowledged(address(1))
	assert.Equal(t, len(b.Ready()), 1)
	third, withheld := b.Batch(at(4), address(1), sendAll)
	assert.DeepEqual(t, third, []Order[string]{{3, "c"}, {4, "d"}})
	assert.Equal(t, len(withheld), 0)
}

func TestWithheldOrderIsNotInBatch(t *testing.T) {
	b := NewBook[string](orderTimeout)
	b.Add(address(1), "old", 0)
	b.Add(address(1), "young", 0)
	batch, withheld := b.Batch(at(501), address(1), func(order string) error {
		if order == "old" {
			return errStale
		}
		return nil
	})
	assert.DeepEqual(t, batch, []Order[string]{{2, "young"}})
	assert.Equal(t, len(withheld), 1)
	assert.Equal(t, withheld[0], Withheld[string]{"old", errStale})
	_, status := b.Result(at(502), 1)
	assert.Equal(t, status, Unwanted)
}

func TestAddFailsWhenRelayQueueIsFull(t *testing.T) {
	b := NewBook[string](orderTimeout)
	for range maxQueuedOrders {
		assert.Assert(t, b.Add(address(1), "a", 0))
	}
	assert.Assert(t, !b.Add(address(1), "a", 0))
	batch, _ := b.Batch(at(0), address(1), sendAll)
	assert.Equal(t, len(batch), maxBatchOrders)
	assert.Assert(t, b.Add(address(1), "a", 0))
}

func TestRepeatedResultIsUnwanted(t *testing.T) {
	b := NewBook[string](orderTimeout)
	b.Add(address(1), "a", 0)
	b.Batch(at(0), address(1), sendAll)
	order, status := b.Result(at(10), 1)
	assert.Equal(t, order, "a")
	assert.Equal(t, status, Wanted)
	_, status = b.Result(at(20), 1)
	assert.Equal(t, status, Unwanted)
	_, status = b.Result(at(20), 77)
	assert.Equal(t, status, Unwanted)
}

func TestResultOfOverdueOrderIsLate(t *testing.T) {
	b := NewBook[string](orderTimeout)
	b.Add(address(1), "waits", 2*time.Second)
	b.Add(address(1), "answers at once", 0)
	b.Batch(at(0), address(1), sendAll)
	assert.DeepEqual(t, b.Overdue(at(700)), []string(nil))
	assert.DeepEqual(t, b.Overdue(at(701)), []string{"answers at once"})
	assert.DeepEqual(t, b.Overdue(at(2700)), []string(nil))
	assert.DeepEqual(t, b.Overdue(at(2701)), []string{"waits"})
	order, status := b.Result(at(2800), 1)
	assert.Equal(t, order, "waits")
	assert.Equal(t, status, Late)
	_, status = b.Result(at(2900), 1)
	assert.Equal(t, status, Unwanted)
	b.Overdue(at(5401))
	_, status = b.Result(at(5402), 2)
	assert.Equal(t, status, Unwanted, "abandoned orders are dropped after the retention time")
}

func TestRelayIsQuietOnlyWhenResultIsDue(t *testing.T) {
	b := NewBook[string](orderTimeout)
	b.Add(address(1), "waits", 2*time.Second)
	b.Batch(at(0), address(1), sendAll)
	assert.Equal(t, len(b.Quiet(at(2600))), 0)
	assert.Equal(t, len(b.Quiet(at(2601))), 1)
	b.Add(address(1), "start", 0)
	b.Add(address(1), "another", 0)
	b.Batch(at(2000), address(1), sendAll)
	b.Result(at(2500), 2)
	assert.Equal(t, len(b.Quiet(at(2700))), 0, "the relay returned a result 200 ms ago")
	assert.Equal(t, len(b.Quiet(at(3101))), 1)
}

func TestRelayIsAliveAfterRecentResult(t *testing.T) {
	b := NewBook[string](orderTimeout)
	assert.Assert(t, !b.Alive(at(0), address(1)))
	b.Add(address(1), "a", 0)
	b.Add(address(1), "b", 0)
	b.Batch(at(0), address(1), sendAll)
	assert.Assert(t, !b.Alive(at(10), address(1)), "the relay has an order and returned no result")
	b.Result(at(100), 1)
	assert.Assert(t, b.Alive(at(700), address(1)))
	assert.Assert(t, !b.Alive(at(701), address(1)))
	assert.Assert(t, b.GiveUp(2))
	assert.Assert(t, !b.GiveUp(2))
	_, status := b.Result(at(800), 2)
	assert.Equal(t, status, Late)
}

func TestLostReturnsUnsentAndSentOrdersOfRelay(t *testing.T) {
	b := NewBook[string](orderTimeout)
	b.Add(address(1), "sent", 0)
	b.Add(address(2), "elsewhere", 0)
	b.Batch(at(0), address(1), sendAll)
	b.Batch(at(0), address(2), sendAll)
	b.Add(address(1), "waiting", 0)
	unsent, sent := b.Lost(address(1))
	assert.DeepEqual(t, unsent, []string{"waiting"})
	assert.DeepEqual(t, sent, []string{"sent"})
	_, status := b.Result(at(2), 1)
	assert.Equal(t, status, Late)
	_, status = b.Result(at(2), 2)
	assert.Equal(t, status, Wanted)
}

func TestNotSentReturnsAllOrdersOfBatch(t *testing.T) {
	b := NewBook[string](orderTimeout)
	b.Add(address(1), "a", 0)
	b.Add(address(1), "b", 0)
	batch, _ := b.Batch(at(0), address(1), sendAll)
	assert.DeepEqual(t, b.NotSent(batch), []string{"a", "b"})
	_, status := b.Result(at(1), 1)
	assert.Equal(t, status, Unwanted)
}
