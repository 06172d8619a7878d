package cell_test

import (
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/wire/jobpb"
)

// A job that ends before its specification is stored is stored with its payload: the batches
// of a flush may be stored one by one, and a successor restores what it finds.
func TestPayloadOfJobThatEndsAtOnceIsStored(t *testing.T) {
	c := newTestCell(testWorker(1))
	const id, payload = "0000000000000001", "payload"
	_, refusal := c.Submit(testStart, &bamboofall.Job{ID: id, Queue: "q", Payload: payload, Steps: []bamboofall.Step{{
		Count: 1, Size: bamboofall.Resources{MilliProcessors: 1000}, Estimate: time.Second,
	}}})
	assert.Assert(t, refusal == nil, "%v", refusal)
	_, known := c.Cancel(testStart, id)
	assert.Assert(t, known)
	records, _, err := c.Flush()
	assert.NilError(t, err)
	found := false
	for _, r := range records {
		if strings.HasPrefix(r.Key, "j") && len(r.Value) > 0 {
			m := &jobpb.Job{}
			assert.NilError(t, proto.Unmarshal(r.Value, m))
			assert.Equal(t, m.GetPayload(), payload)
			found = true
		}
	}
	assert.Assert(t, found)
}
