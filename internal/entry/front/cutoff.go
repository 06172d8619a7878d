package front

import (
	"errors"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"bamboofall.example/bamboofall/internal/request/holding"
)

// reasonCutOff is the reason for the refusal of requests at a VM that reaches neither the store
// nor an owner.
const reasonCutOff = "cutOff"

// errIsolated reports that the owner is cut off from the store and from other data centres.
var errIsolated = errors.New("the owner is cut off from the store and from other data centres")

// recordOwnerCall records the outcome of a call of this VM to the owner.
func (f *Front) recordOwnerCall(at time.Time, err error) {
	switch {
	case err == nil:
		f.ownerLink.Answered(at)
	case connect.CodeOf(err) == codeIsolated:
		f.ownerLink.Useless(at)
	default:
		f.ownerLink.Unanswered(at)
	}
}

// codeIsolated is the code of errIsolated.
const codeIsolated = connect.CodeFailedPrecondition

// isCutOff reports whether this VM can serve no request, as it reaches neither the store nor an
// owner that does. It leaves rotation then.
func (f *Front) isCutOff(at time.Time) bool {
	if f.owner.Load() != nil {
		return f.isIsolated(at)
	}
	return holding.CutOff(at, &f.storeLink, &f.ownerLink)
}

// noteCutOff logs when this VM gets cut off and when it no longer is.
func (f *Front) noteCutOff(cutOff bool) {
	if f.wasCutOff.Swap(cutOff) == cutOff {
		return
	}
	event := "reachable again"
	if cutOff {
		event = "cut off"
	}
	f.log.Event(event, logrus.Fields{"process": f.process, "owner": f.owner.Load() != nil})
}

// isIsolated reports whether this VM owns the cell and is cut off from other data centres.
func (f *Front) isIsolated(at time.Time) bool {
	return f.owner.Load() != nil && holding.Isolated(at, &f.storeLink, f.othersHeardAt.get())
}

func (f *Front) cutOffNow() bool { return f.isCutOff(now()) }
