package object

import (
	"slices"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/config/inifile"
)

// Decoded is an object decoded to the type of its kind. Exactly one field is set, or
// none if the kind is unknown.
type Decoded struct {
	Trade   *Trade
	Service *Service
	Job     *Job
	Watch   *Watch
	Limit   *Limit
}

// Decode decodes an object and returns all errors in its fields.
func Decode(o Object) (Decoded, []error) {
	d := inifile.NewDecoder(o.Section, o.Key.String())
	var decoded Decoded
	switch o.Kind {
	case KindTrade:
		decoded.Trade = decodeTrade(d, o.Name)
	case KindService:
		decoded.Service = decodeService(d, o.Name)
	case KindJob:
		decoded.Job = decodeJob(d, o.Name)
	case KindWatch:
		decoded.Watch = decodeWatch(d, o.Name)
	case KindLimit:
		decoded.Limit = decodeLimit(d, o.Name)
	}
	return decoded, d.Errors()
}

func decodeTrade(d *inifile.Decoder, name string) *Trade {
	return &Trade{
		Name:       name,
		DataCentre: bamboofall.DataCentre(d.String("dataCentre", true)),
		Weight:     d.Int("weight", 1, 1, 1000),
		Quota:      decodeSize(d, 0, 0),
		MaxTasks:   d.Int("maxTasks", 0, 0, maxTasks),
	}
}

func decodeService(d *inifile.Decoder, name string) *Service {
	s := &Service{
		Name:          name,
		Class:         decodeClass(d, bamboofall.ClassUrgent),
		Idempotent:    d.List("idempotent"),
		AtMostOnce:    d.List("once"),
		Urgent:        d.List("urgent"),
		Normal:        d.List("normal"),
		Background:    d.List("background"),
		TargetLatency: d.Duration("targetLatency", 250*time.Millisecond, time.Millisecond, maxDeadline),
		MaxDeadline:   d.Duration("maxDeadline", 5*time.Second, 10*time.Millisecond, maxDeadline),
		MaxBody:       d.Bytes("maxBody", 1e6, 1, maxBody),
	}
	s.MaxWork = d.Duration("maxWork", s.MaxDeadline, 10*time.Millisecond, maxWork)
	if len(s.Idempotent)+len(s.AtMostOnce) == 0 {
		d.Fail("idempotent", "idempotent or once must list at least one request kind")
	}
	checkKinds(d, s)
	if s.TargetLatency > s.MaxDeadline {
		d.Fail("targetLatency", "targetLatency %v is above maxDeadline %v", s.TargetLatency, s.MaxDeadline)
	}
	return s
}

// checkKinds reports request kinds that are listed twice or have two classes, and
// classes of kinds that the service does not have.
func checkKinds(d *inifile.Decoder, s *Service) {
	seen := make(map[string]bool)
	for _, kind := range slices.Concat(s.Idempotent, s.AtMostOnce) {
		if seen[kind] {
			d.Fail("once", "request kind %q is listed twice", kind)
		}
		seen[kind] = true
	}
	withClass := make(map[string]bool)
	for _, kind := range slices.Concat(s.Urgent, s.Normal, s.Background) {
		if !seen[kind] {
			d.Fail("idempotent", "request kind %q has a class but is in neither idempotent nor once", kind)
		}
		if withClass[kind] {
			d.Fail("urgent", "request kind %q has two classes", kind)
		}
		withClass[kind] = true
	}
}

func decodeJob(d *inifile.Decoder, name string) *Job {
	return &Job{
		Name:        name,
		Trade:       d.String("trade", true),
		Class:       decodeClass(d, bamboofall.ClassNormal),
		Tasks:       d.Int("tasks", 1, 1, maxTasks),
		Size:        decodeSize(d, 1000, 256e6),
		RunTime:     d.Duration("runTime", time.Minute, time.Millisecond, maxRunTime),
		DataCentre:  bamboofall.DataCentre(d.String("dataCentre", false)),
		After:       d.String("after", false),
		MaxFailures: d.Int("maxFailures", 5, 0, 1000),
	}
}

func decodeWatch(d *inifile.Decoder, name string) *Watch {
	return &Watch{
		Name:       name,
		Trade:      d.String("trade", true),
		Service:    d.String("service", true),
		DataCentre: bamboofall.DataCentre(d.String("dataCentre", true)),
		Size:       decodeSize(d, 100, 64e6),
	}
}

func decodeLimit(d *inifile.Decoder, name string) *Limit {
	d.String("rate", true)
	return &Limit{
		Name:    name,
		Service: d.String("service", true),
		Kind:    d.String("kind", false),
		Trade:   d.String("trade", false),
		Rate:    d.Float("rate", 0, 0, 1e7),
		Burst:   d.Int("burst", 1, 1, 1e6),
	}
}

// decodeClass decodes the class of a service or job. It returns def if none is set.
func decodeClass(d *inifile.Decoder, def bamboofall.Class) bamboofall.Class {
	name := d.String("class", false)
	if name == "" {
		return def
	}
	class, ok := bamboofall.ParseClass(name)
	if !ok {
		d.Fail("class", "class %q is not urgent, normal or background", name)
	}
	return class
}

// decodeSize decodes an amount of resources. The number of processors may be
// fractional.
func decodeSize(d *inifile.Decoder, milliProcessors, memory int64) bamboofall.Resources {
	processors := d.Float("processors", float64(milliProcessors)/1000, 0, maxProcessors)
	return bamboofall.Resources{
		MilliProcessors: int64(processors * 1000),
		MemoryBytes:     d.Bytes("memory", memory, 0, maxMemory),
		Accelerators:    d.Int("accelerators", 0, 0, 1024),
	}
}
