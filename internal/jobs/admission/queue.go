package admission

import "bamboofall.example/bamboofall"

// ReasonAdviceNotSupported is the reason for the refusal of a job whose queue needs advice:
// workers reject its starts without a ticket, and tickets are not implemented.
const ReasonAdviceNotSupported = "adviceNotSupported"

// UnservableReason returns why no job of a queue can run, whatever the load, or "". It must
// be consulted wherever a job is accepted. Jobs are refused for MaxRetryAfter.
func UnservableReason(q *bamboofall.Queue) string {
	if q.NeedsAdvice {
		return ReasonAdviceNotSupported
	}
	return ""
}
