// Package object defines the named objects that operators publish, decodes
// them from INI sections and checks a whole set of them.
//
// A section [kind "name"] is one object. An object is kept and sent as its
// fields, so that get prints what was published, and is decoded to its typed
// form wherever it is used. A set is right if every object decodes and every
// reference leads to an object of the right kind without a circle.
package object

import (
	"fmt"
	"regexp"
	"slices"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/config/inifile"
)

// Kind is a kind of object.
type Kind string

// The kinds of objects.
const (
	KindTrade   Kind = "trade"
	KindService Kind = "service"
	KindJob     Kind = "job"
	KindWatch   Kind = "watch"
	KindLimit   Kind = "limit"
)

// Kinds lists all kinds in the order in which they are printed.
var Kinds = []Kind{KindTrade, KindService, KindJob, KindWatch, KindLimit}

// Key names an object.
type Key struct {
	Kind Kind
	Name string
}

func (k Key) String() string { return fmt.Sprintf("%s %q", k.Kind, k.Name) }

// Object is an object in its published form.
type Object struct {
	Key
	Section inifile.Section
}

// Trade is a customer for whom operators run work.
type Trade struct {
	Name string
	// DataCentre is the home of the trade's requests that must run at most
	// once.
	DataCentre bamboofall.DataCentre
	Weight     int64
	// Quota is the most that the trade's running tasks may take in a data
	// centre. The zero value is no quota.
	Quota    bamboofall.Resources
	MaxTasks int64
}

// Service is a latency-critical service.
type Service struct {
	Name  string
	Class bamboofall.Class
	// Idempotent lists the kinds of requests that may run more than once.
	Idempotent []string
	// Once lists the kinds of requests that must run at most once.
	Once []string
	// Urgent, Normal and Background list the kinds of requests whose class is
	// not that of the service.
	Urgent     []string
	Normal     []string
	Background []string
	// TargetLatency is the latency that the service's tail should keep.
	TargetLatency time.Duration
	MaxDeadline   time.Duration
	// MaxWork is the longest time that an instance works on a request. The
	// service promises to give up by then, also if nobody waits any more.
	MaxWork time.Duration
	MaxBody int64
}

// RequestKind returns whether the service has a kind of request and whether
// it must run at most once.
func (s *Service) RequestKind(kind string) (once, known bool) {
	if slices.Contains(s.Once, kind) {
		return true, true
	}
	return false, slices.Contains(s.Idempotent, kind)
}

// KindClass returns the class of a kind of request.
func (s *Service) KindClass(kind string) bamboofall.Class {
	switch {
	case slices.Contains(s.Urgent, kind):
		return bamboofall.ClassUrgent
	case slices.Contains(s.Normal, kind):
		return bamboofall.ClassNormal
	case slices.Contains(s.Background, kind):
		return bamboofall.ClassBackground
	}
	return s.Class
}

// Job is a batch job. Each submission of it is a run.
type Job struct {
	Name       string
	Trade      string
	Class      bamboofall.Class
	Tasks      int64
	Size       bamboofall.Resources
	RunTime    time.Duration
	DataCentre bamboofall.DataCentre
	// After names a job whose latest run must have finished.
	After       string
	MaxFailures int64
}

// Watch is a standing watch: one task that always runs in exactly one place.
type Watch struct {
	Name       string
	Trade      string
	Service    string
	DataCentre bamboofall.DataCentre
	Size       bamboofall.Resources
}

// Limit bounds the rate of requests.
type Limit struct {
	Name    string
	Service string
	Kind    string
	Trade   string
	// Rate is in requests per second over all entry VMs of a data centre.
	Rate  float64
	Burst int64
}

const (
	maxTasks      = 100_000
	maxProcessors = 4096
	maxMemory     = int64(64e12)
	maxRunTime    = 30 * 24 * time.Hour
	maxDeadline   = 30 * time.Second
	maxWork       = 10 * time.Minute
	maxBody       = int64(16e6)
)

var titlePattern = regexp.MustCompile(`^([a-z]+) "([^"]*)"$`)
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// FromSection returns the object that a section declares. It checks the title
// only.
func FromSection(s inifile.Section) (Object, error) {
	m := titlePattern.FindStringSubmatch(s.Title)
	if m == nil {
		return Object{}, &inifile.Error{File: s.File, Line: s.Line, Message: fmt.Sprintf("[%s] is not of the form [kind \"name\"]", s.Title)}
	}
	key := Key{Kind(m[1]), m[2]}
	fail := func(message string) (Object, error) {
		return Object{}, &inifile.Error{File: s.File, Line: s.Line, Message: key.String() + ": " + message}
	}
	if !knownKind(key.Kind) {
		return fail("unknown kind")
	}
	if !namePattern.MatchString(key.Name) {
		return fail("the name must be 1 to 63 of a-z, 0-9, '.' and '-'")
	}
	return Object{Key: key, Section: s}, nil
}

func knownKind(kind Kind) bool {
	return slices.Contains(Kinds, kind)
}
