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

func TestFailedAppendIsRepeatedBeforeNewerRecords(t *testing.T) {
	c := commit.New("w", 20*time.Millisecond)
	assert.NilError(t, c.Add(start, record("a")))
	data, err := c.Next(start)
	assert.NilError(t, err)
	assert.Assert(t, data == nil, "a record must wait for others")
	now := start.Add(20 * time.Millisecond)
	data, err = c.Next(now)
	assert.NilError(t, err)
	assert.DeepEqual(t, ids(t, data), []string{"a"})
	assert.NilError(t, c.Add(now, record("b")))
	c.Failed(now)
	repeated, _ := c.Next(now)
	assert.Assert(t, repeated == nil, "a failed append must not be repeated at once")
	now = now.Add(time.Second)
	repeated, _ = c.Next(now)
	assert.DeepEqual(t, repeated, data)
	c.Done()
	data, _ = c.Next(now)
	assert.DeepEqual(t, ids(t, data), []string{"b"})
}

func TestAddFailsWhenQueueIsFull(t *testing.T) {
	c := commit.New("w", time.Hour)
	for range commit.MaxQueued {
		assert.NilError(t, c.Add(start, record("a")))
	}
	assert.Assert(t, errors.Is(c.Add(start, record("b")), commit.ErrFull))
}

// BenchmarkGroupCommit simulates task starts at the target's peak, 3,300 per
// second over a number of entry VMs, with an intent and a close each. The log
// answers in 5 ms and sustains 200 appends per second of all writers together.
// Reported are the appends of all writers and the delay of a record.
func BenchmarkGroupCommit(b *testing.B) {
	for _, writers := range []int{8, 50, 150} {
		b.Run(fmt.Sprintf("writers%d", writers), func(b *testing.B) {
			var result simulation
			for b.Loop() {
				result = simulate(200/float64(writers), 3300*2/writers)
			}
			records := float64(max(result.records, 1))
			b.ReportMetric(float64(result.appends*writers)/seconds, "appends/s")
			b.ReportMetric(records/float64(max(result.appends, 1)), "records/append")
			b.ReportMetric(float64(result.bytes)/records, "B/record")
			b.ReportMetric(result.delay.Seconds()*1000/records, "ms-delay/record")
		})
	}
}

// seconds is the simulated time.
const seconds = 10

// simulation holds the totals of one simulated writer.
type simulation struct {
	appends, bytes, records int
	delay                   time.Duration
}

// simulate runs one writer with an append rate and a number of records per
// second.
func simulate(rate float64, perSecond int) simulation {
	c := commit.New("entry-001/0123abcd", 20*time.Millisecond)
	c.SetRate(start, rate)
	var result simulation
	var addedAt []time.Time
	var doneAt time.Time
	for ms := range seconds * 1000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for len(addedAt)*1000 < ms*perSecond {
			_ = c.Add(now, record(fmt.Sprintf("entry-001/0123abcd/%d", len(addedAt))))
			addedAt = append(addedAt, now)
		}
		if !doneAt.IsZero() && !now.Before(doneAt) {
			c.Done()
			doneAt = time.Time{}
		}
		data, _ := c.Next(now)
		if data == nil {
			continue
		}
		result.appends++
		result.bytes += len(data)
		doneAt = now.Add(5 * time.Millisecond)
		for ; result.records < len(addedAt); result.records++ {
			result.delay += now.Sub(addedAt[result.records])
		}
	}
	return result
}
