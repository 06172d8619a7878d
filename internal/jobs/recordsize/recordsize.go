// Package recordsize keeps the records of a cell below the size that the store accepts. A
// record above it is never stored, and nothing after it.
//
// Records of accepted jobs must be stored whole, so jobs whose records could grow above the
// limit are refused when they are submitted. Other records leave out what the next owner
// can do without.
//
// Limits are the size of the largest record in bytes, or zero for Default.
package recordsize

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"bamboofall.example/bamboofall/internal/jobs/duration"
	"bamboofall.example/bamboofall/internal/jobs/pressure"
	"bamboofall.example/bamboofall/internal/wire/jobpb"
)

const (
	// Default is the size of the largest record in bytes if the platform sets none.
	Default = 256 << 10
	// keyBytes is reserved for the key of a record.
	keyBytes = 256
	// ratioBytes is the size of a ratio without the name of its image.
	ratioBytes = 24
	// settingsBytes is reserved for what is stored with a job beside what was submitted.
	settingsBytes = 1 << 10
	// leasesBytes is reserved for the ends of the leases of a worker.
	leasesBytes = 64
)

// FitsJob reports whether the record of a job, with the settings of its queue, can be stored.
func FitsJob(m *jobpb.Job, limit int) bool { return proto.Size(m)+settingsBytes <= valueLimit(limit) }

// FitsWorker reports whether the record of a worker can be stored, with the ends of its leases.
func FitsWorker(m *jobpb.Worker, limit int) bool {
	return proto.Size(m)+leasesBytes <= valueLimit(limit)
}

// valueLimit returns the size of the largest value of a record, without its key.
func valueLimit(limit int) int { return cmp.Or(limit, Default) - keyBytes }

// TrimProgress leaves out of the progress of a job what exceeds the limit: first the starts
// that help to tell which task crashed a worker, then the checkpoints. It reports whether
// it left anything out.
func TrimProgress(m *jobpb.Progress, limit int) bool {
	limit = valueLimit(limit)
	if proto.Size(m) <= limit {
		return false
	}
	eachTask(m, func(t *jobpb.Task) { t.Starts = nil })
	if proto.Size(m) > limit {
		eachTask(m, func(t *jobpb.Task) { t.Checkpoint = "" })
	}
	return true
}

func eachTask(m *jobpb.Progress, visit func(*jobpb.Task)) {
	for _, o := range m.GetOpen() {
		for _, s := range o.GetSteps() {
			for _, t := range s.GetTasks() {
				visit(t)
			}
		}
	}
}

// Learned returns the record of what was learned. Half of the limit is for run times and half
// for pressures, of the images that were observed last.
func Learned(durations *duration.Model, pressures *pressure.Model, limit int) *jobpb.Learned {
	m := &jobpb.Learned{RunTimeSpread: durations.Spread(), RunTimeRatios: make(map[string]float64)}
	half := valueLimit(limit) / 2
	left := half
	for image, ratio := range durations.Ratios() {
		if left -= len(image) + ratioBytes; left < 0 {
			break
		}
		m.RunTimeRatios[image] = ratio
	}
	m.Fits = trimFits(pressure.EncodeFits(pressures.Fits()), half)
	return m
}

// trimFits returns the first fits, the last of them with its first pressures, that take up
// to a number of bytes.
func trimFits(fits []*jobpb.Fit, limit int) []*jobpb.Fit {
	exceeds := func(m proto.Message) bool {
		limit -= entryBytes(proto.Size(m))
		return limit < 0
	}
	for i, fit := range fits {
		all := fit.Pressures
		fit.Pressures = nil
		if exceeds(fit) {
			return fits[:i]
		}
		fit.Pressures = all
		if n := slices.IndexFunc(all, func(p *jobpb.Pressure) bool { return exceeds(p) }); n >= 0 {
			fit.Pressures = all[:n]
			return fits[:i+min(n, 1)]
		}
	}
	return fits
}

// entryBytes returns the size of a message of n bytes as an entry of a repeated field. The
// length of the message that holds it may take a few bytes more with each entry.
func entryBytes(n int) int { return 1 + 2*protowire.SizeBytes(0) + protowire.SizeBytes(n) }
