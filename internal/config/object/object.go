// Package object defines the configuration objects that operators publish, decodes
// them from INI sections and validates complete sets of them.
//
// A section [kind "name"] is one object. Objects are stored and transmitted as lists
// of fields, so that the get command prints what was published, and are decoded where
// they are used. A set is valid if every object decodes, every reference names an
// existing object of the right kind, and no job refers to itself through after.
package object

import (
	"fmt"
	"regexp"
	"slices"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/config/inifile"
)

// Kind is the kind of an object.
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

// Key identifies an object.
type Key struct {
	Kind Kind
	Name string
}

func (k Key) String() string { return fmt.Sprintf("%s %q", k.Kind, k.Name) }

// Object is an object as it was published, before decoding.
type Object struct {
	Key
	Section inifile.Section
}

// Trade is a customer on whose behalf operators run work.
type Trade struct {
	Name string
	// DataCentre is the home of the customer's requests that must run at most once.
	DataCentre bamboofall.DataCentre
	// Weight is the customer's weight in the fair queueing of requests.
	Weight int64
	// Quota is the upper bound on the resources of the customer's running tasks in a
	// data centre. A zero dimension is not bounded.
	Quota bamboofall.Resources
	// MaxTasks bounds the number of the customer's running tasks in a data centre.
	// Zero means no bound.
	MaxTasks int64
}

// Service is a latency-critical service.
type Service struct {
	Name  string
	Class bamboofall.Class
	// Idempotent lists the request kinds that may run more than once.
	Idempotent []string
	// AtMostOnce lists the request kinds that must run at most once.
	AtMostOnce []string
	// Urgent, Normal and Background list the request kinds whose class differs from
	// that of the service.
	Urgent     []string
	Normal     []string
	Background []string
	// TargetLatency is the objective for the service's tail latency.
	TargetLatency time.Duration
	// MaxDeadline is the longest deadline that a request may have.
	MaxDeadline time.Duration
	// MaxWork is the longest time for which an instance works on a request. The
	// service guarantees to abort a request by then, even if no caller waits for it
	// any more.
	MaxWork time.Duration
	// MaxBody bounds the body of a request, in bytes.
	MaxBody int64
}

// RequestKind reports whether requests of a kind must run at most once, and whether
// the service has that kind.
func (s *Service) RequestKind(kind string) (atMostOnce, known bool) {
	if slices.Contains(s.AtMostOnce, kind) {
		return true, true
	}
	return false, slices.Contains(s.Idempotent, kind)
}

// KindClass returns the class of requests of a kind.
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
	Name  string
	Trade string
	Class bamboofall.Class
	Tasks int64
	// Size is the amount of resources that each task gets.
	Size bamboofall.Resources
	// RunTime is the expected running time of a task.
	RunTime time.Duration
	// DataCentre is where the job runs. It may be empty.
	DataCentre bamboofall.DataCentre
	// After names a job whose latest run must have finished before this one starts.
	After string
	// MaxFailures is how many times a task may fail and be retried.
	MaxFailures int64
}

// Watch is a standing task that always runs in exactly one place.
type Watch struct {
	Name       string
	Trade      string
	Service    string
	DataCentre bamboofall.DataCentre
	// Size is the amount of resources that the task gets.
	Size bamboofall.Resources
}

// Limit bounds the rate of requests to a service. An empty Kind or Trade matches all.
type Limit struct {
	Name    string
	Service string
	Kind    string
	Trade   string
	// Rate is the number of requests per second over all entry VMs of a data centre.
	Rate float64
	// Burst is the size of the limit's token bucket, in requests, divided among the
	// entry VMs.
	Burst int64
}

const (
	// The upper bounds of values in objects. Memory and bodies are in bytes.
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

// FromSection returns the object that a section declares. It checks the section title
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
	if !isKnownKind(key.Kind) {
		return fail("unknown kind")
	}
	if !namePattern.MatchString(key.Name) {
		return fail("the name must be 1 to 63 of a-z, 0-9, '.' and '-'")
	}
	return Object{Key: key, Section: s}, nil
}

func isKnownKind(kind Kind) bool {
	return slices.Contains(Kinds, kind)
}
