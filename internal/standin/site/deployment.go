package site

import (
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/config/inifile"
)

// Deployment describes a deployment and the load on it, as read from an INI
// file.
type Deployment struct {
	Name        string
	DataCentres []bamboofall.DataCentre
	// LinkDelay is the one-way delay between data centres, ClientDelay the
	// one-way delay between callers and entry VMs.
	LinkDelay   time.Duration
	ClientDelay time.Duration
	EntryVMs    int
	Shards      int
	Service     Service
	Workers     Workers
	Log         Log
	Load        Load
	// JobDeviations holds the [truth] sections by job name.
	JobDeviations map[string]JobDeviation
}

// Service describes the instances of the service that all requests call.
type Service struct {
	Name      string
	Instances int
	// Slots is the number of requests that an instance processes at the same
	// time, Connections its limit of open connections.
	Slots       int
	Connections int
	// Work is the mean processing time of a request.
	Work time.Duration
	// MaxWork is the time after which an instance aborts a request.
	MaxWork time.Duration
	// Size is the capacity that an instance occupies on its VM.
	Size bamboofall.Resources
}

// Workers describes the worker VMs.
type Workers struct {
	Count   int
	PerRack int
	// Room is the capacity of a worker.
	Room bamboofall.Resources
	// Accelerated is the number of workers that have accelerators.
	Accelerated int
}

// Log describes the platform's log.
type Log struct {
	// Retention is how long the log keeps entries.
	Retention time.Duration
	// Appends is the limit of appends per second.
	Appends float64
}

// Load describes the requests of callers and the jobs of operators.
type Load struct {
	// Objects is the path of the INI file with the objects to publish.
	Objects string
	// Rate is the mean number of requests per second from all callers together.
	Rate float64
	// Deadline is the time that callers allow for an answer.
	Deadline time.Duration
	// Mix holds the relative weight of each kind of request.
	Mix []Share
	// Jobs are submitted in turn, one each JobEvery.
	Jobs     []string
	JobEvery time.Duration
}

// Share is the weight of a kind of request.
type Share struct {
	Kind   string
	Weight float64
}

// JobDeviation describes how the tasks of a job deviate from its declaration.
type JobDeviation struct {
	// TimeFactor and SizeFactor multiply the declared run time and size.
	TimeFactor float64
	SizeFactor float64
	// FailEvery makes one in FailEvery attempts fail. Zero means none.
	FailEvery int64
	// Noise is the latency inflation that one running task adds to the
	// instances on its VM: 0.5 means 50 %.
	Noise float64
}

// ReadDeployment reads a deployment from an INI file and reports all errors in
// it.
func ReadDeployment(path string) (*Deployment, error) {
	sections, errs := inifile.ReadFile(path)
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	d := &Deployment{JobDeviations: make(map[string]JobDeviation)}
	for _, s := range sections {
		dec := inifile.NewDecoder(s, "")
		switch s.Title {
		case "deployment":
			d.decode(dec)
		case "service":
			d.Service.decode(dec)
		case "workers":
			d.Workers.decode(dec)
		case "log":
			d.Log.Retention = dec.Duration("retention", time.Hour, time.Second, 1000*time.Hour)
			d.Log.Appends = dec.Float("appendsPerSecond", 300, 1, 1e6)
		case "load":
			d.Load.decode(dec, filepath.Dir(path))
		default:
			var job string
			if _, err := fmt.Sscanf(s.Title, "truth %q", &job); err != nil {
				errs = append(errs, &inifile.Error{File: path, Line: s.Line, Message: fmt.Sprintf("unknown section [%s]", s.Title)})
				continue
			}
			d.JobDeviations[job] = decodeDeviation(dec)
		}
		errs = append(errs, dec.Errors()...)
	}
	if len(d.DataCentres) == 0 && len(errs) == 0 {
		errs = append(errs, &inifile.Error{File: path, Message: "section [deployment] is missing or has no dataCentres"})
	}
	return d, errors.Join(errs...)
}

func (d *Deployment) decode(dec *inifile.Decoder) {
	d.Name = dec.String("name", true)
	for _, dc := range dec.List("dataCentres") {
		d.DataCentres = append(d.DataCentres, bamboofall.DataCentre(dc))
	}
	d.LinkDelay = dec.Duration("linkDelay", 5*time.Millisecond, 0, time.Second)
	d.ClientDelay = dec.Duration("clientDelay", 3*time.Millisecond, 0, time.Second)
	d.EntryVMs = int(dec.Int("entryVMs", 8, 1, 500))
	d.Shards = int(dec.Int("shards", 4, 1, 256))
}

func (s *Service) decode(dec *inifile.Decoder) {
	s.Name = dec.String("name", true)
	s.Instances = int(dec.Int("instances", 1, 1, 20_000))
	s.Slots = int(dec.Int("slots", 8, 1, 1000))
	s.Connections = int(dec.Int("connections", 64, 1, 10_000))
	s.Work = dec.Duration("work", 20*time.Millisecond, time.Microsecond, time.Minute)
	s.MaxWork = dec.Duration("maxWork", 2*time.Second, time.Millisecond, time.Minute)
	s.Size = decodeResources(dec)
}

func (w *Workers) decode(dec *inifile.Decoder) {
	w.Count = int(dec.Int("count", 1, 1, 20_000))
	w.PerRack = int(dec.Int("perRack", 8, 1, 1000))
	w.Accelerated = int(dec.Int("accelerated", 0, 0, 20_000))
	w.Room = decodeResources(dec)
}

func decodeResources(dec *inifile.Decoder) bamboofall.Resources {
	return bamboofall.Resources{
		MilliProcessors: int64(dec.Float("processors", 1, 0, 4096) * 1000),
		MemoryBytes:     dec.Bytes("memory", 1e9, 0, 64e12),
		Accelerators:    dec.Int("accelerators", 0, 0, 64),
	}
}

func (l *Load) decode(dec *inifile.Decoder, dir string) {
	l.Objects = filepath.Join(dir, dec.String("objects", true))
	l.Rate = dec.Float("requestsPerSecond", 100, 0, 1e6)
	l.Deadline = dec.Duration("deadline", 2*time.Second, time.Millisecond, time.Minute)
	l.Jobs = dec.List("jobs")
	l.JobEvery = dec.Duration("jobEvery", 5*time.Second, time.Millisecond, time.Hour)
	for _, part := range dec.List("mix") {
		var share Share
		if _, err := fmt.Sscanf(part, "%s %f", &share.Kind, &share.Weight); err != nil {
			dec.Fail("mix", "mix: %q is not a request kind followed by a weight", part)
			continue
		}
		l.Mix = append(l.Mix, share)
	}
}

func decodeDeviation(dec *inifile.Decoder) JobDeviation {
	return JobDeviation{
		TimeFactor: dec.Float("timeFactor", 1, 0.001, 1000),
		SizeFactor: dec.Float("sizeFactor", 1, 0.001, 1000),
		FailEvery:  dec.Int("failEvery", 0, 0, 1e6),
		Noise:      dec.Float("noise", 0, 0, 100),
	}
}
