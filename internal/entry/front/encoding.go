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
		order := b.Order
		address, err := order.Worker.Address.MarshalBinary()
		if err != nil {
			return nil, fmt.Errorf("encode address of worker %s: %w", order.Worker.ID, err)
		}
		message := &jobpb.WorkerOrder{Id: b.ID, Kind: jobpb.OrderKind(order.Kind), Worker: order.Worker.ID, Address: address}
		if order.Kind == cell.OrderHold {
			message.Token, message.Seen = uint64(order.Hold.Token), order.Hold.AcknowledgedEnd
			message.LeaseUntilMs, message.WaitMs = order.Hold.LeaseUntil.Milliseconds(), order.Hold.Wait.Milliseconds()
		} else {
			start := order.Start
			message.Token, message.Task, message.Run, message.Percent = uint64(start.Token), encodeTask(start.Task), start.Run, uint32(order.Percent)
			message.Checkpoint, message.Ticket, message.LeaseUntilMs = start.Checkpoint, start.Ticket, start.LeaseUntil.Milliseconds()
			if start.Payload != "" {
				if payloadNumbers[start.Payload] == 0 {
					req.Payloads = append(req.Payloads, start.Payload)
					payloadNumbers[start.Payload] = uint32(len(req.Payloads))
				}
				message.Payload = payloadNumbers[start.Payload]
			}
		}
		req.Orders = append(req.Orders, message)
	}
	return req, nil
}

// decodeOrder decodes an order of a batch.
func decodeOrder(m *jobpb.WorkerOrder, payloads []string) (cell.Order, error) {
	order := cell.Order{Kind: cell.OrderKind(m.GetKind()), Worker: bamboofall.WorkerRef{ID: m.GetWorker()}, Percent: int(m.GetPercent())}
	if err := order.Worker.Address.UnmarshalBinary(m.GetAddress()); err != nil {
		return order, err
	}
	token, until := bamboofall.Token(m.GetToken()), milliseconds(m.GetLeaseUntilMs())
	if order.Kind == cell.OrderHold {
		order.Hold = bamboofall.HoldOrder{LeaseUntil: until, Token: token, AcknowledgedEnd: m.GetSeen(), Wait: milliseconds(m.GetWaitMs())}
		return order, nil
	}
	order.Start = bamboofall.StartOrder{
		Task: decodeTask(m.GetTask()), Run: m.GetRun(), Checkpoint: m.GetCheckpoint(), LeaseUntil: until, Token: token, Ticket: m.GetTicket(),
	}
	if number := int(m.GetPayload()); number > len(payloads) {
		return order, fmt.Errorf("payload number %d out of range: the batch has %d payloads", number, len(payloads))
	} else if number > 0 {
		order.Start.Payload = payloads[number-1]
	}
	return order, nil
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
	result := &jobpb.OrderResult{Id: id}
	var relayErr *bamboofall.RelayError
	var notDone *bamboofall.NotDoneError
	var rejected *bamboofall.RejectedError
	var unknown *bamboofall.UnknownOutcomeError
	meta := report.ResponseMeta
	switch {
	case err == nil:
		result.Outcome = jobpb.OrderOutcome_ORDER_OUTCOME_DONE
	case errors.As(err, &rejected):
		result.Outcome, result.Reason = jobpb.OrderOutcome_ORDER_OUTCOME_REJECTED, string(rejected.Cause)
		meta = rejected.ResponseMeta
	case errors.As(err, &relayErr):
		result.Outcome, result.Reason = jobpb.OrderOutcome_ORDER_OUTCOME_NOT_SENT, relayErr.Reason
	case errors.As(err, &notDone):
		result.Outcome, result.Reason = jobpb.OrderOutcome_ORDER_OUTCOME_NOT_DONE, notDone.Reason
		result.Overloaded, result.NoListener = notDone.Overloaded, notDone.NoListener
	case errors.As(err, &unknown):
		result.Outcome, result.Reason = jobpb.OrderOutcome_ORDER_OUTCOME_UNKNOWN, unknown.Err.Error()
	default:
		result.Outcome, result.Reason = jobpb.OrderOutcome_ORDER_OUTCOME_UNKNOWN, err.Error()
	}
	result.ClockMs = meta.Clock.Milliseconds()
	if !meta.Born.IsZero() {
		result.BornUnixMs = meta.Born.UnixMilli()
	}
	for _, p := range report.Running {
		result.Running = append(result.Running, &jobpb.RunningTask{
			Task: encodeTask(p.Task), Run: p.Run, Checkpoint: p.Checkpoint, Percent: int32(p.ProgressPercent), Gauge: p.Gauge,
		})
	}
	for _, e := range report.Ends {
		result.Ends = append(result.Ends, &jobpb.RunEnd{
			Number: e.Number, Task: encodeTask(e.Task), Run: e.Run, Cause: uint32(e.Cause), Checkpoint: e.Checkpoint,
		})
	}
	return result
}

// decodeResult decodes the result of an order. Call and relay are used in errors.
func decodeResult(result *jobpb.OrderResult, call, relay string) (bamboofall.HoldReport, error) {
	report := bamboofall.HoldReport{ResponseMeta: bamboofall.ResponseMeta{Clock: milliseconds(result.GetClockMs())}}
	if result.GetBornUnixMs() > 0 {
		report.Born = time.UnixMilli(result.GetBornUnixMs())
	}
	switch result.GetOutcome() {
	case jobpb.OrderOutcome_ORDER_OUTCOME_DONE:
	case jobpb.OrderOutcome_ORDER_OUTCOME_REJECTED:
		return bamboofall.HoldReport{}, &bamboofall.RejectedError{Call: call, Cause: bamboofall.RejectCause(result.GetReason()), ResponseMeta: report.ResponseMeta}
	case jobpb.OrderOutcome_ORDER_OUTCOME_NOT_DONE:
		return bamboofall.HoldReport{}, &bamboofall.NotDoneError{
			Call: call, Reason: result.GetReason(), Overloaded: result.GetOverloaded(), NoListener: result.GetNoListener(),
		}
	case jobpb.OrderOutcome_ORDER_OUTCOME_NOT_SENT:
		return bamboofall.HoldReport{}, notSentError(call, relay, result.GetReason())
	default:
		return bamboofall.HoldReport{}, &bamboofall.UnknownOutcomeError{Call: call, Err: errors.New(result.GetReason())}
	}
	for _, p := range result.GetRunning() {
		report.Running = append(report.Running, bamboofall.RunningTask{
			Task: decodeTask(p.GetTask()), Run: p.GetRun(), Checkpoint: p.GetCheckpoint(), ProgressPercent: int(p.GetPercent()), Gauge: p.GetGauge(),
		})
	}
	for _, e := range result.GetEnds() {
		report.Ends = append(report.Ends, bamboofall.End{
			Number: e.GetNumber(), Task: decodeTask(e.GetTask()), Run: e.GetRun(), Cause: bamboofall.EndCause(e.GetCause()), Checkpoint: e.GetCheckpoint(),
		})
	}
	return report, nil
}

// notSentError returns the error for an order that a relay did not send.
func notSentError(call, relay, reason string) error {
	cause := &bamboofall.RelayError{Relay: relay, Reason: reason}
	return &bamboofall.NotDoneError{Call: call, Reason: cause.Error(), Err: cause}
}

// unknownOutcomeError returns the error for an order that a relay may have sent.
func unknownOutcomeError(call, relay, reason string) error {
	return &bamboofall.UnknownOutcomeError{Call: call, Err: &bamboofall.RelayError{Relay: relay, Reason: reason}}
}
