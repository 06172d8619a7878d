package front

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
	"bamboofall.example/bamboofall/internal/jobs/dispatch"
	"bamboofall.example/bamboofall/internal/wire/jobpb"
)

// encodeBatch encodes orders as a Carry request. Tasks of a job share one copy of its
// payload.
func encodeBatch(epoch uint64, owner netip.AddrPort, batch []dispatch.Order[*queuedOrder]) (*jobpb.CarryRequest, error) {
	req := &jobpb.CarryRequest{Epoch: epoch, Owner: owner.String(), Orders: make([]*jobpb.WorkerOrder, 0, len(batch))}
	payloadNumbers := make(map[string]uint32)
	for _, b := range batch {
		o := b.Order
		address, err := o.Worker.Address.MarshalBinary()
		if err != nil {
			return nil, fmt.Errorf("encode address of worker %s: %w", o.Worker.ID, err)
		}
		m := &jobpb.WorkerOrder{Id: b.ID, Kind: jobpb.OrderKind(o.Kind), Worker: o.Worker.ID, Address: address}
		if o.Kind == cell.OrderHold {
			m.Token, m.Seen = uint64(o.Hold.Token), o.Hold.Seen
			m.LeaseUntilMs, m.WaitMs = o.Hold.LeaseUntil.Milliseconds(), o.Hold.Wait.Milliseconds()
		} else {
			s := o.Start
			m.Token, m.Task, m.Run, m.Percent = uint64(s.Token), encodeTask(s.Task), s.Run, uint32(o.Percent)
			m.Checkpoint, m.Ticket, m.LeaseUntilMs = s.Checkpoint, s.Ticket, s.LeaseUntil.Milliseconds()
			if s.Payload != "" {
				if payloadNumbers[s.Payload] == 0 {
					req.Payloads = append(req.Payloads, s.Payload)
					payloadNumbers[s.Payload] = uint32(len(req.Payloads))
				}
				m.Payload = payloadNumbers[s.Payload]
			}
		}
		req.Orders = append(req.Orders, m)
	}
	return req, nil
}

// decodeOrder decodes an order of a batch.
func decodeOrder(m *jobpb.WorkerOrder, payloads []string) (cell.Order, error) {
	o := cell.Order{Kind: cell.OrderKind(m.GetKind()), Worker: bamboofall.WorkerRef{ID: m.GetWorker()}, Percent: int(m.GetPercent())}
	if err := o.Worker.Address.UnmarshalBinary(m.GetAddress()); err != nil {
		return o, err
	}
	token, until := bamboofall.Token(m.GetToken()), milliseconds(m.GetLeaseUntilMs())
	if o.Kind == cell.OrderHold {
		o.Hold = bamboofall.HoldOrder{LeaseUntil: until, Token: token, Seen: m.GetSeen(), Wait: milliseconds(m.GetWaitMs())}
		return o, nil
	}
	o.Start = bamboofall.StartOrder{
		Task: decodeTask(m.GetTask()), Run: m.GetRun(), Checkpoint: m.GetCheckpoint(), LeaseUntil: until, Token: token, Ticket: m.GetTicket(),
	}
	if place := int(m.GetPayload()); place > len(payloads) {
		return o, fmt.Errorf("payload number %d out of range: the batch has %d payloads", place, len(payloads))
	} else if place > 0 {
		o.Start.Payload = payloads[place-1]
	}
	return o, nil
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func encodeTask(n bamboofall.TaskName) *jobpb.TaskName {
	return &jobpb.TaskName{Job: string(n.Job), Occurrence: uint32(n.Occurrence), Step: uint32(n.Step), Index: uint32(n.Index)}
}

func decodeTask(m *jobpb.TaskName) bamboofall.TaskName {
	return bamboofall.TaskName{
		Job: bamboofall.JobID(m.GetJob()), Occurrence: int(m.GetOccurrence()), Step: int(m.GetStep()), Index: int(m.GetIndex()),
	}
}

// encodeResult encodes the result of an order.
func encodeResult(id uint64, report bamboofall.HoldReport, err error) *jobpb.OrderResult {
	m := &jobpb.OrderResult{Id: id}
	var carrier *bamboofall.CarrierError
	var notDone *bamboofall.NotDoneError
	var rejected *bamboofall.RejectedError
	var unknown *bamboofall.UnknownOutcomeError
	seen := report.Sighting
	switch {
	case err == nil:
		m.Outcome = jobpb.OrderOutcome_ORDER_OUTCOME_DONE
	case errors.As(err, &rejected):
		m.Outcome, m.Reason = jobpb.OrderOutcome_ORDER_OUTCOME_REJECTED, string(rejected.Cause)
		seen = rejected.Sighting
	case errors.As(err, &carrier):
		m.Outcome, m.Reason = jobpb.OrderOutcome_ORDER_OUTCOME_NOT_SENT, carrier.Reason
	case errors.As(err, &notDone):
		m.Outcome, m.Reason, m.Overloaded = jobpb.OrderOutcome_ORDER_OUTCOME_NOT_DONE, notDone.Reason, notDone.Overloaded
	case errors.As(err, &unknown):
		m.Outcome, m.Reason = jobpb.OrderOutcome_ORDER_OUTCOME_UNKNOWN, unknown.Err.Error()
	default:
		m.Outcome, m.Reason = jobpb.OrderOutcome_ORDER_OUTCOME_UNKNOWN, err.Error()
	}
	m.ClockMs = seen.Clock.Milliseconds()
	if !seen.Born.IsZero() {
		m.BornUnixMs = seen.Born.UnixMilli()
	}
	for _, p := range report.Running {
		m.Running = append(m.Running, &jobpb.RunningTask{
			Task: encodeTask(p.Task), Run: p.Run, Checkpoint: p.Checkpoint, Percent: int32(p.Percent), Gauge: p.Gauge,
		})
	}
	for _, e := range report.Ends {
		m.Ends = append(m.Ends, &jobpb.RunEnd{
			Number: e.Number, Task: encodeTask(e.Task), Run: e.Run, Cause: uint32(e.Cause), Checkpoint: e.Checkpoint,
		})
	}
	return m
}

// decodeResult decodes the result of an order. Call and relay are used in errors.
func decodeResult(m *jobpb.OrderResult, call, relay string) (bamboofall.HoldReport, error) {
	report := bamboofall.HoldReport{Sighting: bamboofall.Sighting{Clock: milliseconds(m.GetClockMs())}}
	if m.GetBornUnixMs() > 0 {
		report.Born = time.UnixMilli(m.GetBornUnixMs())
	}
	switch m.GetOutcome() {
	case jobpb.OrderOutcome_ORDER_OUTCOME_DONE:
	case jobpb.OrderOutcome_ORDER_OUTCOME_REJECTED:
		return bamboofall.HoldReport{}, &bamboofall.RejectedError{Call: call, Cause: bamboofall.RejectCause(m.GetReason()), Sighting: report.Sighting}
	case jobpb.OrderOutcome_ORDER_OUTCOME_NOT_DONE:
		return bamboofall.HoldReport{}, &bamboofall.NotDoneError{Call: call, Reason: m.GetReason(), Overloaded: m.GetOverloaded()}
	case jobpb.OrderOutcome_ORDER_OUTCOME_NOT_SENT:
		return bamboofall.HoldReport{}, notSentError(call, relay, m.GetReason())
	default:
		return bamboofall.HoldReport{}, &bamboofall.UnknownOutcomeError{Call: call, Err: errors.New(m.GetReason())}
	}
	for _, p := range m.GetRunning() {
		report.Running = append(report.Running, bamboofall.Placed{
			Task: decodeTask(p.GetTask()), Run: p.GetRun(), Checkpoint: p.GetCheckpoint(), Percent: int(p.GetPercent()), Gauge: p.GetGauge(),
		})
	}
	for _, e := range m.GetEnds() {
		report.Ends = append(report.Ends, bamboofall.End{
			Number: e.GetNumber(), Task: decodeTask(e.GetTask()), Run: e.GetRun(), Cause: bamboofall.EndCause(e.GetCause()), Checkpoint: e.GetCheckpoint(),
		})
	}
	return report, nil
}

// notSentError returns the error for an order that a carrier did not send.
func notSentError(call, carrier, reason string) error {
	cause := &bamboofall.CarrierError{Carrier: carrier, Reason: reason}
	return &bamboofall.NotDoneError{Call: call, Reason: cause.Error(), Err: cause}
}

// unknownOutcomeError returns the error for an order that a carrier may have sent.
func unknownOutcomeError(call, carrier, reason string) error {
	return &bamboofall.UnknownOutcomeError{Call: call, Err: &bamboofall.CarrierError{Carrier: carrier, Reason: reason}}
}

// callName returns the name of an order's worker call, for errors.
func callName(kind cell.OrderKind) string {
	switch kind {
	case cell.OrderStart:
		return "start"
	case cell.OrderStop:
		return "stop"
	case cell.OrderHold:
		return "hold"
	case cell.OrderPace:
		return "pace"
	}
	return "order"
}
