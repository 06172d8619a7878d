package object

import (
	"slices"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/config/inifile"
)

// Decoded is the typed form of an object. Exactly one pointer is set.
type Decoded struct {
	Trade   *Trade
	Service *Service
	Job     *Job
	Watch   *Watch
	Limit   *Limit
}

// Decode returns the typed form of an object and all faults of its fields.
func Decode(o Object) (Decoded, []error) {
	d := inifile.NewDecoder(o.Section, o.Key.String())
	var out Decoded
	switch o.Kind {
	case KindTrade:
		out.Trade = decodeTrade(d, o.Name)
	case KindService:
		out.Service = decodeService(d, o.Name)
	case KindJob:
		out.Job = decodeJob(d, o.Name)
	case KindWatch:
		out.Watch = decodeWatch(d, o.Name)
	case KindLimit:
		out.Limit = decodeLimit(d, o.Name)
	}
	return out, d.Errors()
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
		Once:          d.List("once"),
		Urgent:        d.List("urgent"),
		Normal:        d.List("normal"),
		Background:    d.List("background"),
		TargetLatency: d.Duration("targetLatency", 250*time.Millisecond, time.Millisecond, maxDeadline),
		MaxDeadline:   d.Duration("maxDeadline", 5*time.Second, 10*time.Millisecond, maxDeadline),
		MaxBody:       d.Bytes("maxBody", 1e6, 1, maxBody),
	}
	s.MaxWork = d.Duration("maxWork", s.MaxDeadline, 10*time.Millisecond, maxWork)
	if len(s.Idempotent)+len(s.Once) == 0 {
		d.Fail("idempotent", "needs a kind of request in idempotent or once")
	}
	checkKinds(d, s)
	if s.TargetLatency > s.MaxDeadline {
		d.Fail("targetLatency", "targetLatency %v is above maxDeadline %v", s.TargetLatency, s.MaxDeadline)
	}
	return s
}

// checkKinds finds request kinds that are listed twice, and classes of kinds
// that the service does not have.
func checkKinds(d *inifile.Decoder, s *Service) {
	seen := make(map[string]bool)
	for _, kind := range slices.Concat(s.Idempotent, s.Once) {
		if seen[kind] {
			d.Fail("once", "request kind %q is listed twice", kind)
		}
		seen[kind] = true
	}
	classed := make(map[string]bool)
	for _, kind := range slices.Concat(s.Urgent, s.Normal, s.Background) {
		if !seen[kind] {
			d.Fail("idempotent", "request kind %q has a class but is in neither idempotent nor once", kind)
		}
		if classed[kind] {
			d.Fail("urgent", "request kind %q has two classes", kind)
		}
		classed[kind] = true
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

// decodeSize reads an amount of room. Processors may have fractions.
func decodeSize(d *inifile.Decoder, milliProcessors, memory int64) bamboofall.Resources {
	processors := d.Float("processors", float64(milliProcessors)/1000, 0, maxProcessors)
	return bamboofall.Resources{
		MilliProcessors: int64(processors * 1000),
		MemoryBytes:     d.Bytes("memory", memory, 0, maxMemory),
		Accelerators:    d.Int("accelerators", 0, 0, 1024),
	}
}
