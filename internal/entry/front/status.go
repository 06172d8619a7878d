package front

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"bamboofall.example/bamboofall/internal/jobs/cell"
)

const (
	// ownerStatusInterval and statusInterval are the times between status lines of the
	// owner and of other entry VMs.
	ownerStatusInterval = 2 * time.Second
	statusInterval      = 10 * time.Second
)

// atomicTime is a time that can be accessed concurrently. The zero value is the zero
// time.
type atomicTime struct{ unixNano atomic.Int64 }

func (t *atomicTime) set(at time.Time) {
	if at.IsZero() {
		t.unixNano.Store(0)
		return
	}
	t.unixNano.Store(at.UnixNano())
}

// age returns the time since t, or noAge if t is zero.
func (t *atomicTime) age(now time.Time) time.Duration {
	ns := t.unixNano.Load()
	if ns == 0 {
		return noAge
	}
	return now.Sub(time.Unix(0, ns))
}

// noAge is the age of something that has not happened.
const noAge time.Duration = -1

// ownerProgress tells what the owner last completed. It can be read while the owner's
// loop is blocked or the cell is not restored.
type ownerProgress struct {
	claimedAt time.Time
	// restoredAt, steppedAt and storedAt are when the cell was restored, when the last
	// step or, before the first, the loop began, and when the last append to the cell's
	// partition succeeded.
	restoredAt, steppedAt, storedAt atomicTime
	// storingSince is when the append in flight began, or zero.
	storingSince atomicTime
	// restoringAt is when the restore last made progress, or began.
	restoringAt atomicTime
	// inboxReadAt is when the inbox was last read to its end and applied.
	inboxReadAt atomicTime
	// unansweredSince is since when calls to workers have failed without an answer from
	// any, or zero. callFailedAt is when the last one failed.
	unansweredSince, callFailedAt atomicTime
	// loop is the state of the loop as of its last update.
	loop atomic.Pointer[loopState]
}

// loopState is the part of the status that only the owner's loop can read.
type loopState struct {
	cell cell.Status
	// relays is the number of relays that may get orders, relaysSuspended that of failed
	// ones.
	relays, relaysSuspended int
	// Numbers of workers by route, and of silent ones among them:
	direct, relayed, silentDirect, silentRelayed int
}

// updateProgress publishes the state of the loop.
func (o *owner) updateProgress() {
	s := &loopState{cell: o.cell.Status()}
	s.relays, s.relaysSuspended = o.dispatcher.table.Relays()
	for id, relayed := range o.dispatcher.table.Routes() {
		n, silent := &s.direct, &s.silentDirect
		if relayed {
			n, silent = &s.relayed, &s.silentRelayed
		}
		*n++
		if o.cell.IsSilent(id) {
			*silent++
		}
	}
	o.progress.loop.Store(s)
}

// status returns this VM's view of the ownership of the cell and, on the owner, the state
// of the owner, by the names of the gauges.
func (f *Front) status(at time.Time) map[string]float64 {
	f.leaseMu.Lock()
	record, owned := f.lease.Owner()
	seenAt, confirmedAt := f.lease.RecordSeenAt(), f.lease.ConfirmedAt()
	f.leaseMu.Unlock()
	s := map[string]float64{
		"vmCapacity": float64(vmCapacity(f.settings.Machine)), "cellEpoch": float64(record.Epoch), "cellOwned": toFloat(owned),
		"cellOwnerCapacity": float64(record.Capacity), "cellOwnerStrongestOther": float64(record.StrongestOther),
	}
	if !seenAt.IsZero() {
		s["cellOwnerRecordAgeSeconds"] = at.Sub(seenAt).Seconds()
	}
	f.addEvacuationStatus(at, s)
	if o := f.owner.Load(); o != nil {
		s["ownerRenewalAgeSeconds"] = at.Sub(confirmedAt).Seconds()
		o.addStatus(at, s)
	}
	return s
}

// addStatus adds the state of the owner to a status.
func (o *owner) addStatus(at time.Time, s map[string]float64) {
	p := &o.progress
	strongest, vms := o.front.announcements.strongest(at)
	s["ownerEpoch"], s["ownerAgeSeconds"] = float64(o.record.Epoch), at.Sub(p.claimedAt).Seconds()
	s["ownerReady"], s["ownerReleasing"] = toFloat(o.ready.Load()), toFloat(o.isReleasing())
	s["ownerStrongestOther"], s["ownerVMsHeard"] = float64(strongest), float64(vms)
	for name, age := range map[string]time.Duration{
		"ownerReadySeconds": p.restoredAt.age(at), "ownerStepAgeSeconds": p.steppedAt.age(at), "ownerStoredAgeSeconds": p.storedAt.age(at),
		"ownerStoringSeconds": p.storingSince.age(at), "ownerInboxAgeSeconds": p.inboxReadAt.age(at),
	} {
		if age != noAge {
			s[name] = age.Seconds()
		}
	}
	loop := p.loop.Load()
	if loop == nil {
		return
	}
	for name, n := range map[string]int{
		"ownerWorkers": loop.cell.Known, "ownerWorkersUsable": loop.cell.Usable, "ownerWorkersSilent": loop.cell.Silent, "ownerWorkersUnlisted": loop.cell.Unlisted,
		"ownerWorkersEvacuated": loop.cell.Evacuated, "ownerWorkersCold": loop.cell.Cold,
		"ownerWorkersDirect": loop.direct, "ownerWorkersRelayed": loop.relayed, "ownerWorkersDirectSilent": loop.silentDirect, "ownerWorkersRelayedSilent": loop.silentRelayed,
		"ownerRelays": loop.relays, "ownerRelaysSuspended": loop.relaysSuspended,
		"ownerStandingTasks": loop.cell.Standing, "ownerStandingTasksRunning": loop.cell.StandingRunning,
		"ownerIdleJobs": loop.cell.IdleJobs,
	} {
		s[name] = float64(n)
	}
	s["ownerRecovering"] = toFloat(loop.cell.Recovering)
	s["ownerStandingDownSeconds"] = loop.cell.LongestDown.Seconds()
	s["ownerStandingDownWithRoomSeconds"] = loop.cell.LongestDownWithRoom.Seconds()
	s["ownerIdleSeconds"] = loop.cell.LongestIdle.Seconds()
	s["ownerIdleWithRoomSeconds"] = loop.cell.LongestIdleWithRoom.Seconds()
}

func toFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// logStatusLoop logs the status at intervals until ctx is cancelled. It does not depend
// on the owner's loop, which may be blocked.
func (f *Front) logStatusLoop(ctx context.Context) error {
	var loggedAt time.Time
	for ctx.Err() == nil {
		sleep(ctx, ownerStatusInterval)
		at := now()
		if f.owner.Load() == nil && at.Sub(loggedAt) < statusInterval {
			continue
		}
		loggedAt = at
		f.log.Event("status", f.statusFields(at))
	}
	return nil
}

// statusFields returns the status for a log line.
func (f *Front) statusFields(at time.Time) logrus.Fields {
	fields := logrus.Fields{}
	for name, value := range f.status(at) {
		fields[name] = math.Round(value*1000) / 1000
	}
	if record, known := f.currentOwner(); known {
		fields["owner"] = record.Process
	}
	return fields
}
