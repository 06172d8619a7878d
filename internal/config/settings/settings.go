// Package settings reads and validates the INI settings of an entry daemon.
//
// Every key has a default, except where no value suits all deployments. All errors are
// reported at once, each with file, line and key.
package settings

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/config/inifile"
)

// Settings holds the settings of one entry daemon.
type Settings struct {
	VM         bamboofall.VMID
	DataCentre bamboofall.DataCentre
	// Callers is the listen address for callers and operators.
	Callers netip.AddrPort
	// Peers is the listen address for other entry VMs.
	Peers netip.AddrPort
	// Platform is the address of the platform's API, which serves the log and the list
	// of VMs.
	Platform netip.AddrPort
	// Neighbours are the peer addresses of other entry VMs of the data centre, which
	// are asked for state while the platform is down. It may be empty.
	Neighbours []netip.AddrPort
	// Shards is the number of shards of a data centre. It must be the same for all its
	// daemons.
	Shards int
	// LogAppends bounds the appends per second to the log, over all entry VMs of all
	// data centres.
	LogAppends float64
	// LogLevel is debug, info, warning or error.
	LogLevel string
	Timing   Timing
	Batch    Batch
}

// Timing holds the timeouts and intervals of the protocols. ReadFile checks that they
// are consistent with each other.
type Timing struct {
	// Heartbeat is the interval between heartbeats to a peer.
	Heartbeat time.Duration
	// Suspect is how long a peer may be silent before it is considered dead.
	Suspect time.Duration
	// Fence is how long an owner acts without contact to the log or its peers.
	Fence time.Duration
	// Takeover is how long a claimant of a shard waits before it acts as its owner.
	Takeover time.Duration
	// Lease is how long a worker runs a task without renewal. It must exceed Suspect
	// plus Takeover, so that tasks continue while a shard moves from a dead owner to
	// the next.
	Lease time.Duration
	// Sync is the interval between synchronisations with a worker.
	Sync time.Duration
	// Commit is how long a record waits for others to share its append (group commit).
	Commit time.Duration
	// Retention is how long the log keeps an entry.
	Retention time.Duration
}

// Batch holds the weights by which batch work is scheduled.
type Batch struct {
	// TailWeight weighs the tail latency of services against batch throughput, from 0
	// (throughput only) to 1 (tail latency only).
	TailWeight float64
}

// DefaultLogAppends is the default of Settings.LogAppends, in appends per second.
const DefaultLogAppends = 200

// DefaultTiming returns the default timeouts and intervals.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat: 500 * time.Millisecond,
		Suspect:   2 * time.Second,
		Fence:     4 * time.Second,
		Takeover:  6 * time.Second,
		Lease:     15 * time.Second,
		Sync:      500 * time.Millisecond,
		Commit:    20 * time.Millisecond,
		Retention: time.Hour,
	}
}

// ReadFile reads the settings from a file. The error joins all errors found.
func ReadFile(path string) (*Settings, error) {
	sections, errs := inifile.ReadFile(path)
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	s, errs := decode(path, sections)
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return s, nil
}

// Write prints the settings in the format that ReadFile reads.
func (s *Settings) Write(w io.Writer) error {
	var neighbours []string
	for _, n := range s.Neighbours {
		neighbours = append(neighbours, n.String())
	}
	t := s.Timing
	_, err := fmt.Fprintf(w, `[entry]
vm = %s
dataCentre = %s
callers = %s
peers = %s
platform = %s
neighbours = %s
shards = %d
logAppends = %v
logLevel = %s

[timing]
heartbeat = %v
suspect = %v
fence = %v
takeover = %v
lease = %v
sync = %v
commit = %v
retention = %v

[batch]
tailWeight = %v
`, s.VM, s.DataCentre, s.Callers, s.Peers, s.Platform, strings.Join(neighbours, ", "), s.Shards, s.LogAppends, s.LogLevel,
		t.Heartbeat, t.Suspect, t.Fence, t.Takeover, t.Lease, t.Sync, t.Commit, t.Retention, s.Batch.TailWeight)
	if err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	return nil
}

// decode decodes all sections of a settings file over the defaults.
func decode(path string, sections []inifile.Section) (*Settings, []error) {
	s := &Settings{Timing: DefaultTiming(), Shards: 4, LogLevel: "info", Batch: Batch{TailWeight: 0.5}}
	var errs []error
	hasEntry := false
	for _, section := range sections {
		d := inifile.NewDecoder(section, "")
		switch section.Title {
		case "entry":
			hasEntry = true
			s.decodeEntry(d)
		case "timing":
			s.Timing.decode(d)
		case "batch":
			s.Batch.TailWeight = d.Float("tailWeight", s.Batch.TailWeight, 0, 1)
		default:
			errs = append(errs, &inifile.Error{File: path, Line: section.Line, Message: fmt.Sprintf("unknown section [%s]", section.Title)})
			continue
		}
		errs = append(errs, d.Errors()...)
	}
	if !hasEntry {
		errs = append(errs, &inifile.Error{File: path, Message: "section [entry] is missing"})
	}
	return s, errs
}

func (s *Settings) decodeEntry(d *inifile.Decoder) {
	s.VM = bamboofall.VMID(d.String("vm", true))
	s.DataCentre = bamboofall.DataCentre(d.String("dataCentre", true))
	s.Callers = d.AddrPort("callers", true)
	s.Peers = d.AddrPort("peers", true)
	s.Platform = d.AddrPort("platform", true)
	s.Neighbours = d.AddrPorts("neighbours")
	s.Shards = int(d.Int("shards", int64(s.Shards), 1, 256))
	s.LogAppends = d.Float("logAppends", DefaultLogAppends, 1, 1e6)
	s.LogLevel = d.String("logLevel", false)
	switch s.LogLevel {
	case "":
		s.LogLevel = "info"
	case "debug", "info", "warning", "error":
	default:
		d.Fail("logLevel", "logLevel %q is not debug, info, warning or error", s.LogLevel)
	}
}

// decode decodes the timing section and checks the order that the protocols require of
// the timeouts.
func (t *Timing) decode(d *inifile.Decoder) {
	decodeDuration := func(key string, to *time.Duration) {
		*to = d.Duration(key, *to, time.Millisecond, 24*time.Hour)
	}
	decodeDuration("heartbeat", &t.Heartbeat)
	decodeDuration("suspect", &t.Suspect)
	decodeDuration("fence", &t.Fence)
	decodeDuration("takeover", &t.Takeover)
	decodeDuration("lease", &t.Lease)
	decodeDuration("sync", &t.Sync)
	decodeDuration("commit", &t.Commit)
	decodeDuration("retention", &t.Retention)
	requireBelow := func(key string, a time.Duration, than string, b time.Duration) {
		if a >= b {
			d.Fail(key, "%s %v must be below %s %v", key, a, than, b)
		}
	}
	requireBelow("heartbeat", t.Heartbeat, "suspect", t.Suspect)
	requireBelow("suspect", t.Suspect, "fence", t.Fence)
	requireBelow("fence", t.Fence, "takeover", t.Takeover)
	requireBelow("sync", t.Sync, "lease", t.Lease)
	requireBelow("takeover", t.Suspect+t.Takeover, "lease", t.Lease)
	requireBelow("takeover", t.Takeover, "retention", t.Retention)
}
