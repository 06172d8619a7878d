package router_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/config/object"
	"bamboofall.example/bamboofall/internal/request/idempotency"
	"bamboofall.example/bamboofall/internal/request/router"
)

var start = time.Unix(1000, 0)

const objects = `
[trade "pier"]
dataCentre = north

[service "ledger"]
idempotent = plan
once = tally

[limit "few"]
service = ledger
trade = pier
kind = plan
rate = 10
burst = 4
`

// newTestRouter returns a router that owns the only shard and a number of
// instances with 8 slots each.
func newTestRouter(t testing.TB, instances, entryVMs int) *router.Router {
	t.Helper()
	parsed, errs := object.Parse("objects", []byte(objects))
	assert.Equal(t, len(errs), 0)
	set, errs := object.NewSet(parsed)
	assert.Equal(t, len(errs), 0)
	r := router.New(router.Config{VM: "e1", DataCentre: "north", Seed: 1})
	r.Configure(start, set, 1)
	v := router.View{
		FenceUntil: start.Add(24 * time.Hour), Active: map[int]bamboofall.Token{0: 1}, EntryVMs: entryVMs,
		Homes: []router.Home{{Owner: "e1", Token: 1}}, Listed: map[string]bool{"ledger": true},
	}
	for i := range instances {
		v.Instances = append(v.Instances, router.OwnedInstance{
			Instance: bamboofall.Instance{
				ID: fmt.Sprintf("ledger-%04d", i), Service: "ledger", Slots: 8,
				Address: netip.MustParseAddrPort("127.0.0.1:1"),
			},
			VM: bamboofall.VMID(fmt.Sprintf("w%d", i)), ActiveSince: start, HandedOver: true,
		})
	}
	r.SetView(start, v)
	return r
}

// planRequest returns an idempotent request.
func planRequest(id uint64) router.Request {
	return router.Request{ID: id, Service: "ledger", Kind: "plan", Deadline: start.Add(time.Second)}
}

func TestArriveRefusesInvalidRequest(t *testing.T) {
	r := newTestRouter(t, 1, 1)
	for want, modify := range map[router.Reason]func(*router.Request){
		router.ReasonUnknownService: func(req *router.Request) { req.Service = "till" },
		router.ReasonUnknownKind:    func(req *router.Request) { req.Kind = "refund" },
		router.ReasonUnknownTrade:   func(req *router.Request) { req.Trade = "nobody" },
		router.ReasonBodyTooLarge:   func(req *router.Request) { req.Size = 2e6 },
		router.ReasonDeadlinePassed: func(req *router.Request) { req.Deadline = start },
		router.ReasonMissingKey:     func(req *router.Request) { req.Kind, req.Trade = "tally", "pier" },
	} {
		req := planRequest(1)
		modify(&req)
		reply := r.Arrive(start, req)[0].(router.Reply)
		assert.Equal(t, reply.Reason, want)
		assert.Equal(t, reply.Outcome, bamboofall.OutcomeNotRun)
	}
}

// With two entry VMs, each enforces half of the configured rate.
func TestRateLimitIsDividedAmongEntryVMs(t *testing.T) {
	r := newTestRouter(t, 4, 2)
	sent := 0
	for ms := range uint64(10_000) {
		req := planRequest(ms + 1)
		req.Trade = "pier"
		now := start.Add(time.Duration(ms) * time.Millisecond)
		req.Deadline = now.Add(time.Second)
		for _, action := range r.Arrive(now, req) {
			switch a := action.(type) {
			case router.Send:
				sent++
				r.Sent(now, a.Attempt, router.SendResult{Status: router.SendAnswered, Answer: &idempotency.Answer{}})
			case router.Reply:
				assert.Equal(t, a.Reason, router.ReasonLimited)
				assert.Assert(t, a.RetryAfter > 0)
			}
		}
	}
	assert.Assert(t, sent >= 49 && sent <= 53, "sent %d requests in 10 s with a limit of 5 a second", sent)
}

// After an attempt times out, its instance may still be working. The slot must
// not be used again before a late answer arrives or MaxWork has passed.
func TestSlotStaysHeldAfterAttemptTimeout(t *testing.T) {
	r := newTestRouter(t, 1, 1)
	var sends []router.Send
	for id := range uint64(8) {
		for _, a := range r.Arrive(start, planRequest(id+1)) {
			sends = append(sends, a.(router.Send))
		}
	}
	assert.Equal(t, len(sends), 8)
	for _, s := range sends {
		r.Sent(start.Add(time.Second), s.Attempt, router.SendResult{Status: router.SendTimeout})
	}
	late := planRequest(99)
	late.Deadline = start.Add(20 * time.Second)
	for _, a := range r.Arrive(start.Add(time.Second), late) {
		_, sent := a.(router.Send)
		assert.Assert(t, !sent, "a slot was used again while its request may be running")
	}
	// A late answer releases its slot.
	actions := r.Sent(start.Add(2*time.Second), sends[0].Attempt, router.SendResult{Status: router.SendTimeout})
	assert.Equal(t, len(actions), 1)
	_, sent := actions[0].(router.Send)
	assert.Assert(t, sent)
}

// BenchmarkDecision measures one request from arrival to reply.
// A request that is refused when it is queued again may have run before. It must be
// counted as it is answered.
func TestRefusedRetryIsCountedAsUnknown(t *testing.T) {
	r := newTestRouter(t, 1, 1)
	send := r.Arrive(start, planRequest(1))[0].(router.Send)
	r.SetView(start, router.View{FenceUntil: start.Add(24 * time.Hour), EntryVMs: 1, Listed: map[string]bool{}})
	actions := r.Sent(start, send.Attempt, router.SendResult{Status: router.SendBroken, Fresh: true})
	reply := actions[0].(router.Reply)
	assert.Equal(t, reply.Outcome, bamboofall.OutcomeUnknown)
	assert.Equal(t, reply.Reason, router.ReasonNoInstances)
	counters := r.Counters()
	assert.Equal(t, counters.Unknowns[router.ReasonNoInstances], int64(1))
	assert.Equal(t, counters.Outcomes[bamboofall.OutcomeNotRun], int64(0))
}

func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{16, 65, 200, 3600} {
		b.Run(fmt.Sprintf("instances%d", n), func(b *testing.B) {
			r := newTestRouter(b, n, 1)
			id := uint64(0)
			answer := router.SendResult{Status: router.SendAnswered, Took: 20 * time.Millisecond, Answer: &idempotency.Answer{}}
			for b.Loop() {
				id++
				a := r.Arrive(start, planRequest(id))
				r.Sent(start, a[0].(router.Send).Attempt, answer)
			}
		})
	}
}

// BenchmarkView measures how long a periodic view update blocks the router.
func BenchmarkView(b *testing.B) {
	for _, n := range []int{16, 65, 200, 3600} {
		b.Run(fmt.Sprintf("instances%d", n), func(b *testing.B) {
			r := newTestRouter(b, n, 1)
			v := router.View{
				FenceUntil: start.Add(time.Hour), Active: map[int]bamboofall.Token{0: 1}, EntryVMs: 1,
				Homes: []router.Home{{Owner: "e1", Token: 1}}, Listed: map[string]bool{"ledger": true},
			}
			for i := range n {
				v.Instances = append(v.Instances, router.OwnedInstance{
					Instance: bamboofall.Instance{ID: fmt.Sprintf("ledger-%04d", i), Service: "ledger", Slots: 8},
					VM:       bamboofall.VMID(fmt.Sprintf("w%d", i)), ActiveSince: start, HandedOver: true,
				})
			}
			for b.Loop() {
				r.SetView(start, v)
			}
		})
	}
}
