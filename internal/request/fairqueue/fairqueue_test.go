package fairqueue_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/request/fairqueue"
)

var start = time.Unix(1000, 0)

// The backlogged classes must be served in proportion to their weights, and the
// class that needs less than its share must get all it needs.
func TestBackloggedClassesAreServedByWeight(t *testing.T) {
	q := fairqueue.New()
	id := uint64(0)
	push := func(c bamboofall.Class, kind, trade string) {
		id++
		q.Push(start, &fairqueue.Item{ID: id, Class: c, Kind: kind, Trade: trade, Deadline: start.Add(time.Hour)})
	}
	served := make(map[bamboofall.Class]int)
	const rounds = 6000
	for i := range rounds {
		for range 2 {
			push(bamboofall.ClassUrgent, "tally", "flood")
			push(bamboofall.ClassBackground, "float", "flood")
		}
		if i%10 == 0 {
			push(bamboofall.ClassNormal, "plan", "small")
		}
		served[q.Pop(start).Class]++
	}
	assert.Equal(t, served[bamboofall.ClassNormal], rounds/10, "a class that needs less than its share must get all it needs")
	ratio := float64(served[bamboofall.ClassUrgent]) / float64(served[bamboofall.ClassBackground])
	assert.Assert(t, ratio > 7.5 && ratio < 8.5, "ratio of urgent to background is %.2f, want 8", ratio)
}

// Items leave through Pop or Expire. Neither may lose an item or return one that
// the other has returned.
func TestEachItemLeavesExactlyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := fairqueue.New()
		queued := make(map[uint64]bool)
		now := start
		remove := func(it *fairqueue.Item) {
			if !queued[it.ID] {
				t.Fatalf("item %d left twice", it.ID)
			}
			delete(queued, it.ID)
		}
		for id := range uint64(rapid.IntRange(1, 200).Draw(t, "steps")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "do") {
			case 0, 1:
				it := &fairqueue.Item{
					ID: id, Class: rapid.SampledFrom(bamboofall.Classes).Draw(t, "class"),
					Kind:     rapid.SampledFrom([]string{"a", "b"}).Draw(t, "kind"),
					Trade:    rapid.SampledFrom([]string{"x", "y"}).Draw(t, "trade"),
					Deadline: now.Add(time.Duration(rapid.IntRange(-5, 100).Draw(t, "left")) * time.Millisecond),
				}
				if q.Push(now, it) {
					queued[id] = true
				}
			case 2:
				if it := q.Pop(now); it != nil {
					remove(it)
				}
			default:
				for _, it := range q.Expire(now) {
					remove(it)
				}
			}
			if q.Len() != len(queued) {
				t.Fatalf("queue has %d items, want %d", q.Len(), len(queued))
			}
		}
	})
}

func BenchmarkPushPop(b *testing.B) {
	for _, trades := range []int{1, 20, 340} {
		b.Run(fmt.Sprintf("trades%d", trades), func(b *testing.B) {
			q := fairqueue.New()
			id := uint64(0)
			push := func() {
				id++
				q.Push(start, &fairqueue.Item{
					ID: id, Class: bamboofall.ClassNormal, Kind: "plan", Trade: fmt.Sprint(id % uint64(trades)),
					Deadline: start.Add(time.Hour),
				})
			}
			for range trades {
				push()
			}
			for b.Loop() {
				push()
				q.Pop(start)
			}
		})
	}
}
