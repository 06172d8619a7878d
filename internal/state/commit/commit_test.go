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

// BenchmarkGroupCommit plays seconds of task starts at the target's peak, 3,300
// a second over a number of entry VMs with an intent and a close each, against a
// log that answers in 5 ms and lets all writers together append 200 times a
// second. It reports what all writers add to the log and how long a record
// waits.
func BenchmarkGroupCommit(b *testing.B) {
	for _, writers := range []int{8, 50, 150} {
		b.Run(fmt.Sprintf("writers%d", writers), func(b *testing.B) {
			var p played
			for b.Loop() {
				p = play(200/float64(writers), 3300*2/writers)
			}
			records := float64(max(p.records, 1))
			b.ReportMetric(float64(p.appends*writers)/seconds, "appends/s")
			b.ReportMetric(records/float64(max(p.appends, 1)), "records/append")
			b.ReportMetric(float64(p.bytes)/records, "B/record")
			b.ReportMetric(p.delay.Seconds()*1000/records, "ms-delay/record")
		})
	}
}

const seconds = 10

type played struct {
	appends, bytes, records int
	delay                   time.Duration
}

func play(rate float64, perSecond int) played {
	c := commit.New("entry-001/0123abcd", 20*time.Millisecond)
	c.SetRate(start, rate)
	var p played
	var came []time.Time
	var doneAt time.Time
	for ms := range seconds * 1000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for len(came)*1000 < ms*perSecond {
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
		p.appends++
		p.bytes += len(data)
		doneAt = now.Add(5 * time.Millisecond)
		for ; p.records < len(came); p.records++ {
			p.delay += now.Sub(came[p.records])
		}
	}
	return p
}
