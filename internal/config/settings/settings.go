// Package settings reads and checks the INI settings of a daemon.
//
// Every key has a default but those that no default can be right for. All
// faults are reported at once, each with file, line and key.
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

// Settings are the settings of one entry daemon.
type Settings struct {
	VM         bamboofall.VMID
	DataCentre bamboofall.DataCentre
	// Callers is the address for callers and operators.
	Callers netip.AddrPort
	// Peers is the address for other entry VMs.
	Peers netip.AddrPort
	// Platform is where the log and the VM list answer.
	Platform netip.AddrPort
	// Neighbours are the peer addresses of entry VMs of the data centre. They
	// are asked for state while the platform is down. It may be empty.
	Neighbours []netip.AddrPort
	// Shards is the number of shards of a data centre. All its daemons must
	// agree on it.
	Shards int
	// LogAppends is the number of appends a second that all entry VMs of all
	// data centres together may make.
	LogAppends float64
	LogLevel   string
	Timing     Timing
	Batch      Batch
}

// Timing holds the time bounds of the protocols. The rules that bind them to
// each other are checked.
type Timing struct {
	// Heartbeat is the time between heartbeats to a peer.
	Heartbeat time.Duration
	// Suspect is the silence after which a peer is taken as dead.
	Suspect time.Duration
	// Fence is how long an owner acts without news of the log or its peers.
	Fence time.Duration
	// Takeover is how long a claimant waits before it acts.
	Takeover time.Duration
	// Lease is how long a worker runs a task without a renewal. It outlives the
	// move of a shard from a dead owner, so that its tasks go on meanwhile.
	Lease time.Duration
	// Sync is the time between rounds with a worker.
	Sync time.Duration
	// Commit is how long records wait for others to share an append.
	Commit time.Duration
	// Retention is how long the log keeps an entry.
	Retention time.Duration
}

// Batch holds the operators' weights.
type Batch struct {
	// TailWeight says how much a service's tail latency counts against batch
	// throughput, from 0 (throughput alone) to 1 (tail latency alone).
	TailWeight float64
}

// DefaultLogAppends is the default share of the log, in appends a second.
const DefaultLogAppends = 200

// DefaultTiming returns the default time bounds.
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

// ReadFile reads the settings from a file. The error joins all faults.
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

// Write prints the settings as ReadFile takes them.
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

func decode(path string, sections []inifile.Section) (*Settings, []error) {
	s := &Settings{Timing: DefaultTiming(), Shards: 4, LogLevel: "info", Batch: Batch{TailWeight: 0.5}}
	var errs []error
	found := false
	for _, section := range sections {
		d := inifile.NewDecoder(section, "")
		switch section.Title {
		case "entry":
			found = true
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
	if !found {
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

func (t *Timing) decode(d *inifile.Decoder) {
	span := func(key string, to *time.Duration) {
		*to = d.Duration(key, *to, time.Millisecond, 24*time.Hour)
	}
	span("heartbeat", &t.Heartbeat)
	span("suspect", &t.Suspect)
	span("fence", &t.Fence)
	span("takeover", &t.Takeover)
	span("lease", &t.Lease)
	span("sync", &t.Sync)
	span("commit", &t.Commit)
	span("retention", &t.Retention)
	less := func(key string, a time.Duration, than string, b time.Duration) {
		if a >= b {
			d.Fail(key, "%s %v must be below %s %v", key, a, than, b)
		}
	}
	less("heartbeat", t.Heartbeat, "suspect", t.Suspect)
	less("suspect", t.Suspect, "fence", t.Fence)
	less("fence", t.Fence, "takeover", t.Takeover)
	less("sync", t.Sync, "lease", t.Lease)
	less("takeover", t.Suspect+t.Takeover, "lease", t.Lease)
	less("takeover", t.Takeover, "retention", t.Retention)
}
