package site

import (
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/config/inifile"
)

// Deployment describes a deployment and the load on it.
type Deployment struct {
	Name        string
	DataCentres []bamboofall.DataCentre
	// LinkDelay is the one-way delay between data centres, ClientDelay that
	// between callers and entry VMs.
	LinkDelay   time.Duration
	ClientDelay time.Duration
	EntryVMs    int
	Shards      int
	Service     Service
	Workers     Workers
	Log         Log
	Load        Load
	Truths      map[string]Truth
}

// Service describes the instances of the shared service.
type Service struct {
	Name        string
	Instances   int
	Slots       int
	Connections int
	// Work is the mean time that an instance works on a request.
	Work time.Duration
	// MaxWork is when an instance gives up on a request.
	MaxWork time.Duration
	Size    bamboofall.Resources
}

// Workers describes the workers.
type Workers struct {
	Count   int
	PerRack int
	Room    bamboofall.Resources
	// Accelerated workers have accelerators.
	Accelerated int
}

// Log describes the log.
type Log struct {
	Retention time.Duration
	Appends   float64
}

// Load describes what callers and operators do.
type Load struct {
	Objects string
	// Rate is in requests per second over all callers.
	Rate     float64
	Deadline time.Duration
	// Mix holds the share of each kind of request, as kind:weight.
	Mix []Share
	// Jobs are submitted in turn, one each JobEvery.
	Jobs     []string
	JobEvery time.Duration
}

// Share is a kind with its weight.
type Share struct {
	Kind   string
	Weight float64
}

// Truth tells how far a job's declaration is from what its tasks do.
type Truth struct {
	// TimeFactor and SizeFactor multiply the declared run time and size.
	TimeFactor float64
	SizeFactor float64
	// FailEvery makes every n-th task fail. Zero means none.
	FailEvery int64
	// Noise is the inflation that one task adds to services on its VM.
	Noise float64
}

// ReadDeployment reads a deployment from a file.
func ReadDeployment(path string) (*Deployment, error) {
	sections, errs := inifile.ReadFile(path)
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	d := &Deployment{Truths: make(map[string]Truth)}
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
			d.Truths[job] = decodeTruth(dec)
		}
		errs = append(errs, dec.Errors()...)
	}
	if len(d.DataCentres) == 0 && len(errs) == 0 {
		errs = append(errs, &inifile.Error{File: path, Message: "section [deployment] with dataCentres is missing"})
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
	s.Size = decodeRoom(dec)
}

func (w *Workers) decode(dec *inifile.Decoder) {
	w.Count = int(dec.Int("count", 1, 1, 20_000))
	w.PerRack = int(dec.Int("perRack", 8, 1, 1000))
	w.Accelerated = int(dec.Int("accelerated", 0, 0, 20_000))
	w.Room = decodeRoom(dec)
}

func decodeRoom(dec *inifile.Decoder) bamboofall.Resources {
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
			dec.Fail("mix", "mix: %q is not a kind and a weight", part)
			continue
		}
		l.Mix = append(l.Mix, share)
	}
}

func decodeTruth(dec *inifile.Decoder) Truth {
	return Truth{
		TimeFactor: dec.Float("timeFactor", 1, 0.001, 1000),
		SizeFactor: dec.Float("sizeFactor", 1, 0.001, 1000),
		FailEvery:  dec.Int("failEvery", 0, 0, 1e6),
		Noise:      dec.Float("noise", 0, 0, 100),
	}
}
