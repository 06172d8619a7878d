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
	tracker := NewTracker[string](orderTimeout)
	add := func(order string) { assert.Assert(t, tracker.Add(address(1), order, 0)) }
	add("a")
	first, _ := tracker.Batch(at(0), address(1), sendAll)
	assert.DeepEqual(t, first, []Order[string]{{1, "a"}})
	add("b")
	_, _ = tracker.Batch(at(1), address(1), sendAll)
	add("c")
	add("d")
	assert.Equal(t, len(tracker.Ready()), 0, "two batches are unacknowledged")
	tracker.BatchAcknowledged(address(1))
	assert.Equal(t, len(tracker.Ready()), 1)
	third, withheld := tracker.Batch(at(4), address(1), sendAll)
	assert.DeepEqual(t, third, []Order[string]{{3, "c"}, {4, "d"}})
	assert.Equal(t, len(withheld), 0)
}

func TestWithheldOrderIsNotInBatch(t *testing.T) {
	tracker := NewTracker[string](orderTimeout)
	tracker.Add(address(1), "old", 0)
	tracker.Add(address(1), "young", 0)
	batch, withheld := tracker.Batch(at(501), address(1), func(order string) error {
		if order == "old" {
			return errStale
		}
		return nil
	})
	assert.DeepEqual(t, batch, []Order[string]{{2, "young"}})
	assert.Equal(t, len(withheld), 1)
	assert.Equal(t, withheld[0], Withheld[string]{"old", errStale})
	_, status := tracker.Result(at(502), 1)
	assert.Equal(t, status, ResultUnwanted)
}

func TestAddFailsWhenRelayQueueIsFull(t *testing.T) {
	tracker := NewTracker[string](orderTimeout)
	for range maxQueuedOrders {
		assert.Assert(t, tracker.Add(address(1), "a", 0))
	}
	assert.Assert(t, !tracker.Add(address(1), "a", 0))
	batch, _ := tracker.Batch(at(0), address(1), sendAll)
	assert.Equal(t, len(batch), maxBatchOrders)
	assert.Assert(t, tracker.Add(address(1), "a", 0))
}

func TestRepeatedResultIsUnwanted(t *testing.T) {
	tracker := NewTracker[string](orderTimeout)
	tracker.Add(address(1), "a", 0)
	tracker.Batch(at(0), address(1), sendAll)
	order, status := tracker.Result(at(10), 1)
	assert.Equal(t, order, "a")
	assert.Equal(t, status, ResultExpected)
	_, status = tracker.Result(at(20), 1)
	assert.Equal(t, status, ResultUnwanted)
	_, status = tracker.Result(at(20), 77)
	assert.Equal(t, status, ResultUnwanted)
}

func TestResultOfOverdueOrderIsLate(t *testing.T) {
	tracker := NewTracker[string](orderTimeout)
	tracker.Add(address(1), "waits", 2*time.Second)
	tracker.Add(address(1), "answers at once", 0)
	tracker.Batch(at(0), address(1), sendAll)
	assert.DeepEqual(t, tracker.AbandonOverdue(at(700)), []string(nil))
	assert.DeepEqual(t, tracker.AbandonOverdue(at(701)), []string{"answers at once"})
	assert.DeepEqual(t, tracker.AbandonOverdue(at(2700)), []string(nil))
	assert.DeepEqual(t, tracker.AbandonOverdue(at(2701)), []string{"waits"})
	order, status := tracker.Result(at(2800), 1)
	assert.Equal(t, order, "waits")
	assert.Equal(t, status, ResultLate)
	_, status = tracker.Result(at(2900), 1)
	assert.Equal(t, status, ResultUnwanted)
	tracker.AbandonOverdue(at(5401))
	_, status = tracker.Result(at(5402), 2)
	assert.Equal(t, status, ResultUnwanted, "abandoned orders are dropped after the retention time")
}

func TestRelayIsUnresponsiveOnlyWhenResultIsDue(t *testing.T) {
	tracker := NewTracker[string](orderTimeout)
	tracker.Add(address(1), "waits", 2*time.Second)
	tracker.Batch(at(0), address(1), sendAll)
	assert.Equal(t, len(tracker.Unresponsive(at(2600))), 0)
	assert.Equal(t, len(tracker.Unresponsive(at(2601))), 1)
	tracker.Add(address(1), "start", 0)
	tracker.Add(address(1), "another", 0)
	tracker.Batch(at(2000), address(1), sendAll)
	tracker.Result(at(2500), 2)
	assert.Equal(t, len(tracker.Unresponsive(at(2700))), 0, "the relay returned a result 200 ms ago")
	assert.Equal(t, len(tracker.Unresponsive(at(3101))), 1)
}

func TestRelayIsAliveAfterRecentResult(t *testing.T) {
	tracker := NewTracker[string](orderTimeout)
	assert.Assert(t, !tracker.Alive(at(0), address(1)))
	tracker.Add(address(1), "a", 0)
	tracker.Add(address(1), "b", 0)
	tracker.Batch(at(0), address(1), sendAll)
	assert.Assert(t, !tracker.Alive(at(10), address(1)), "the relay has an order and returned no result")
	tracker.Result(at(100), 1)
	assert.Assert(t, tracker.Alive(at(700), address(1)))
	assert.Assert(t, !tracker.Alive(at(701), address(1)))
	assert.Assert(t, tracker.Abandon(2))
	assert.Assert(t, !tracker.Abandon(2))
	_, status := tracker.Result(at(800), 2)
	assert.Equal(t, status, ResultLate)
}

func TestRemoveOrdersReturnsUnsentAndSentOrdersOfRelay(t *testing.T) {
	tracker := NewTracker[string](orderTimeout)
	tracker.Add(address(1), "sent", 0)
	tracker.Add(address(2), "elsewhere", 0)
	tracker.Batch(at(0), address(1), sendAll)
	tracker.Batch(at(0), address(2), sendAll)
	tracker.Add(address(1), "waiting", 0)
	unsent, sent := tracker.RemoveOrders(address(1))
	assert.DeepEqual(t, unsent, []string{"waiting"})
	assert.DeepEqual(t, sent, []string{"sent"})
	_, status := tracker.Result(at(2), 1)
	assert.Equal(t, status, ResultLate)
	_, status = tracker.Result(at(2), 2)
	assert.Equal(t, status, ResultExpected)
}

func TestRevertBatchReturnsAllOrdersOfBatch(t *testing.T) {
	tracker := NewTracker[string](orderTimeout)
	tracker.Add(address(1), "a", 0)
	tracker.Add(address(1), "b", 0)
	batch, _ := tracker.Batch(at(0), address(1), sendAll)
	assert.DeepEqual(t, tracker.RevertBatch(batch), []string{"a", "b"})
	_, status := tracker.Result(at(1), 1)
	assert.Equal(t, status, ResultUnwanted)
}

// An owner that keeps the cell for long must not keep the state of VMs that are gone.
func TestStateOfRelaysThatAreGoneIsRemoved(t *testing.T) {
	tracker := NewTracker[string](orderTimeout)
	const answers, silent, leaves = 1, 2, 3
	for _, relay := range []int{answers, silent, leaves} {
		assert.Assert(t, tracker.Add(address(relay), "a", 0))
	}
	batch, _ := tracker.Batch(at(0), address(answers), sendAll)
	tracker.BatchAcknowledged(address(answers))
	_, status := tracker.Result(at(100), batch[0].ID)
	assert.Equal(t, status, ResultExpected)
	lost, _ := tracker.Batch(at(0), address(silent), sendAll)
	tracker.BatchAcknowledged(address(silent))
	tracker.RemoveOrders(address(leaves))

	tracker.AbandonOverdue(at(100))
	assert.Assert(t, tracker.Alive(at(100), address(answers)))
	tracker.AbandonOverdue(at(5000))
	_, status = tracker.Result(at(5000), lost[0].ID)
	assert.Equal(t, status, ResultLate)
	tracker.AbandonOverdue(at(20_000))
	assert.Equal(t, len(tracker.relays), 0)
}
