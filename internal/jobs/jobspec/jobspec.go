// Package jobspec encodes job specifications for the store and for calls between entry
// VMs, and computes and describes what a specification declares.
package jobspec

import (
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/wire/jobpb"
)

// Encode returns the protobuf form of a job specification.
func Encode(j *bamboofall.Job) *jobpb.Job {
	m := &jobpb.Job{
		Id: string(j.ID), Queue: j.Queue, Payload: j.Payload,
		FirstRunUnixMs: UnixMS(j.FirstRun), IntervalMs: j.Interval.Milliseconds(), Repetitions: uint32(j.Repetitions),
	}
	for _, s := range j.Steps {
		step := &jobpb.Step{
			Count: uint32(s.Count), MilliProcessors: s.Size.MilliProcessors, MemoryBytes: s.Size.MemoryBytes,
			Accelerators: s.Size.Accelerators, EstimateMs: s.Estimate.Milliseconds(), Checkpointing: s.Checkpointing,
			Gang: s.Gang, SameRack: s.SameRack, Speculative: s.Speculative, Standing: s.Standing, Fills: s.BestEffort,
			Label: s.Label, Rack: s.Rack, MaxPerWorker: uint32(s.MaxPerWorker), Image: s.Image,
			TailTargetMs: s.TailTarget.Milliseconds(), MaxUnavailable: uint32(s.MaxUnavailable),
		}
		for _, dep := range s.After {
			step.After = append(step.After, uint32(dep))
		}
		m.Steps = append(m.Steps, step)
	}
	return m
}

// Decode returns the job specification of a protobuf message.
func Decode(m *jobpb.Job) *bamboofall.Job {
	ms := func(v int64) time.Duration { return time.Duration(v) * time.Millisecond }
	j := &bamboofall.Job{
		ID: bamboofall.JobID(m.GetId()), Queue: m.GetQueue(), Payload: m.GetPayload(),
		FirstRun: FromUnixMS(m.GetFirstRunUnixMs()), Interval: ms(m.GetIntervalMs()), Repetitions: int(m.GetRepetitions()),
	}
	for _, s := range m.GetSteps() {
		step := bamboofall.Step{
			Count:    int(s.GetCount()),
			Size:     bamboofall.Resources{MilliProcessors: s.GetMilliProcessors(), MemoryBytes: s.GetMemoryBytes(), Accelerators: s.GetAccelerators()},
			Estimate: ms(s.GetEstimateMs()), Checkpointing: s.GetCheckpointing(), Gang: s.GetGang(), SameRack: s.GetSameRack(),
			Speculative: s.GetSpeculative(), Standing: s.GetStanding(), BestEffort: s.GetFills(), Label: s.GetLabel(), Rack: s.GetRack(),
			MaxPerWorker: int(s.GetMaxPerWorker()), Image: s.GetImage(), TailTarget: ms(s.GetTailTargetMs()),
			MaxUnavailable: int(s.GetMaxUnavailable()),
		}
		for _, a := range s.GetAfter() {
			step.After = append(step.After, int(a))
		}
		j.Steps = append(j.Steps, step)
	}
	return j
}

// UnixMS returns a time as Unix milliseconds, or zero for the zero time.
func UnixMS(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// FromUnixMS is the inverse of UnixMS.
func FromUnixMS(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

// EncodeQueue returns the protobuf form of a queue's settings, or nil without a queue.
func EncodeQueue(q *bamboofall.Queue) *jobpb.Queue {
	if q == nil {
		return nil
	}
	return &jobpb.Queue{
		Service: q.Service, Priority: uint32(q.Priority), MaxAttempts: uint32(q.MaxAttempts), Stretch: q.Stretch, SlackMs: q.Slack.Milliseconds(),
	}
}

// DecodeQueue returns the queue of a protobuf message, or nil without a message.
func DecodeQueue(name string, m *jobpb.Queue) *bamboofall.Queue {
	if m == nil {
		return nil
	}
	return &bamboofall.Queue{
		Name: name, Service: m.GetService(), Priority: int(m.GetPriority()), MaxAttempts: int(m.GetMaxAttempts()),
		Stretch: m.GetStretch(), Slack: time.Duration(m.GetSlackMs()) * time.Millisecond,
	}
}
