package commit_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall/internal/state/commit"
	"bamboofall.example/bamboofall/internal/wire/recordpb"
)

var start = time.Unix(1000, 0)

func record(id string) *recordpb.Record {
	return &recordpb.Record{Id: id, Body: &recordpb.Record_Intent{Intent: &recordpb.Intent{
		Run: "helium-plan-brighton-12345", Index: 17, Attempt: 1, Worker: "worker-0123", Token: 123456,
	}}}
}

func ids(t *testing.T, data []byte) []string {
	t.Helper()
	var b recordpb.Batch
	assert.NilError(t, proto.Unmarshal(data, &b))
	var out []string
	for _, r := range b.GetRecords() {
		out = append(out, r.GetId())
	}
	return out
}

func TestFailedAppendIsRepeatedBeforeAnythingNewer(t *testing.T) {
	c := commit.New("w", 20*time.Millisecond)
	assert.NilError(t, c.Add(start, record("a")))
	data, err := c.Next(start)
	assert.NilError(t, err)
	assert.Assert(t, data == nil, "a record waits for others")
	now := start.Add(20 * time.Millisecond)
	data, err = c.Next(now)
	assert.NilError(t, err)
	assert.DeepEqual(t, ids(t, data), []string{"a"})
	assert.NilError(t, c.Add(now, record("b")))
	c.Failed(now)
	again, _ := c.Next(now)
	assert.Assert(t, again == nil, "a failed append waits before it is repeated")
	now = now.Add(time.Second)
	again, _ = c.Next(now)
	assert.DeepEqual(t, again, data)
	c.Done()
	data, _ = c.Next(now)
	assert.DeepEqual(t, ids(t, data), []string{"b"})
}

func TestQueueIsBounded(t *testing.T) {
	c := commit.New("w", time.Hour)
	for range commit.MaxQueued {
		assert.NilError(t, c.Add(start, record("a")))
	}
	assert.Assert(t, errors.Is(c.Add(start, record("b")), commit.ErrFull))
}

// BenchmarkGroupCommit plays a second of task starts at the target's peak,
// 3,300 a second over 150 entry VMs with an intent and a close each, against a
// log that answers in 5 ms, for several waits. It reports what one entry VM
// adds to the log and the delay that a record waits.
func BenchmarkGroupCommit(b *testing.B) {
	const perSecond = 3300 * 2 / 150
	for _, wait := range []time.Duration{0, 20 * time.Millisecond, 100 * time.Millisecond, 500 * time.Millisecond} {
		b.Run(fmt.Sprintf("wait%v", wait), func(b *testing.B) {
			var appends, bytes int
			var delay time.Duration
			for b.Loop() {
				appends, bytes, delay = playSecond(wait, perSecond)
			}
			b.ReportMetric(float64(appends), "appends/s")
			b.ReportMetric(float64(perSecond)/float64(max(appends, 1)), "records/append")
			b.ReportMetric(float64(bytes)/perSecond, "B/record")
			b.ReportMetric(delay.Seconds()*1000/perSecond, "ms-delay/record")
		})
	}
}

func playSecond(wait time.Duration, perSecond int) (appends, bytes int, delay time.Duration) {
	c := commit.New("entry-001/0123abcd", wait)
	var came []time.Time
	var doneAt time.Time
	sent := 0
	for ms := range 1600 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for len(came) < perSecond && len(came)*1000 < (ms+1)*perSecond {
			_ = c.Add(now, record(fmt.Sprintf("entry-001/0123abcd/%d", len(came))))
			came = append(came, now)
		}
		if !doneAt.IsZero() && !now.Before(doneAt) {
			c.Done()
			doneAt = time.Time{}
		}
		data, _ := c.Next(now)
		if data == nil {
			continue
		}
		appends++
		bytes += len(data)
		doneAt = now.Add(5 * time.Millisecond)
		for ; sent < len(came); sent++ {
			delay += now.Sub(came[sent])
		}
	}
	return appends, bytes, delay
}
