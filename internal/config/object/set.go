package object

import (
	"fmt"
	"sort"

	"bamboofall.example/bamboofall/internal/config/inifile"
)

// Set is a set of decoded objects by kind and name. A nil map is empty.
type Set struct {
	Trades   map[string]*Trade
	Services map[string]*Service
	Jobs     map[string]*Job
	Watches  map[string]*Watch
	Limits   map[string]*Limit
}

// NewSet decodes objects into a set and returns all errors in their fields.
func NewSet(objects []Object) (*Set, []error) {
	s := &Set{
		Trades:   make(map[string]*Trade),
		Services: make(map[string]*Service),
		Jobs:     make(map[string]*Job),
		Watches:  make(map[string]*Watch),
		Limits:   make(map[string]*Limit),
	}
	var errs []error
	for _, o := range objects {
		d, fieldErrs := Decode(o)
		errs = append(errs, fieldErrs...)
		s.add(d)
	}
	return s, errs
}

func (s *Set) add(d Decoded) {
	switch {
	case d.Trade != nil:
		s.Trades[d.Trade.Name] = d.Trade
	case d.Service != nil:
		s.Services[d.Service.Name] = d.Service
	case d.Job != nil:
		s.Jobs[d.Job.Name] = d.Job
	case d.Watch != nil:
		s.Watches[d.Watch.Name] = d.Watch
	case d.Limit != nil:
		s.Limits[d.Limit.Name] = d.Limit
	}
}

// ReadFiles reads objects from files. It returns all errors in syntax and section
// titles.
func ReadFiles(paths []string) ([]Object, []error) {
	var sections []inifile.Section
	var errs []error
	for _, path := range paths {
		found, fileErrs := inifile.ReadFile(path)
		sections = append(sections, found...)
		errs = append(errs, fileErrs...)
	}
	objects, titleErrs := fromSections(sections)
	return objects, append(errs, titleErrs...)
}

// CheckFiles reads objects from files and checks them as one set. It returns all
// errors in syntax, section titles, fields and references.
func CheckFiles(paths []string) ([]Object, []error) {
	objects, errs := ReadFiles(paths)
	return objects, append(errs, Check(objects)...)
}

// Parse reads objects from the text of a file.
func Parse(file string, data []byte) ([]Object, []error) {
	sections, errs := inifile.Parse(file, data)
	objects, titleErrs := fromSections(sections)
	return objects, append(errs, titleErrs...)
}

func fromSections(sections []inifile.Section) ([]Object, []error) {
	var objects []Object
	var errs []error
	for _, s := range sections {
		o, err := FromSection(s)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		objects = append(objects, o)
	}
	return objects, errs
}

// checkDuplicates reports objects that are declared more than once.
func checkDuplicates(objects []Object) []error {
	var errs []error
	first := make(map[Key]inifile.Section)
	for _, o := range objects {
		if other, found := first[o.Key]; found {
			errs = append(errs, errorAtKey(o, "", "already declared at %s:%d", other.File, other.Line))
			continue
		}
		first[o.Key] = o.Section
	}
	return errs
}

// Check validates a complete set: the fields of each object, all references, and
// limits and quotas against other objects. Errors within a file are sorted by line.
func Check(objects []Object) []error {
	set, errs := NewSet(objects)
	errs = append(errs, checkDuplicates(objects)...)
	for _, o := range objects {
		errs = append(errs, checkReferences(set, o)...)
	}
	errs = append(errs, checkCycles(set, objects)...)
	errs = append(errs, checkLimits(set, objects)...)
	sortByLine(errs)
	return errs
}

// errorAtKey returns an error at the line of a key of an object, or of the section
// title if the key is empty or not set.
func errorAtKey(o Object, key, format string, args ...any) error {
	line := o.Section.Line
	for _, k := range o.Section.Keys {
		if k.Name == key {
			line = k.Line
		}
	}
	message := o.Key.String() + ": " + fmt.Sprintf(format, args...)
	return &inifile.Error{File: o.Section.File, Line: line, Message: message}
}

// reference is a key of an object whose value names another object.
type reference struct {
	key    string
	target Key
}

// references returns the references of an object, including empty ones.
func references(set *Set, o Object) []reference {
	var refs []reference
	switch o.Kind {
	case KindJob:
		j := set.Jobs[o.Name]
		refs = []reference{{"trade", Key{KindTrade, j.Trade}}, {"after", Key{KindJob, j.After}}}
	case KindWatch:
		w := set.Watches[o.Name]
		refs = []reference{{"trade", Key{KindTrade, w.Trade}}, {"service", Key{KindService, w.Service}}}
	case KindLimit:
		l := set.Limits[o.Name]
		refs = []reference{{"service", Key{KindService, l.Service}}, {"trade", Key{KindTrade, l.Trade}}}
	}
	return refs
}

func (s *Set) has(k Key) bool {
	switch k.Kind {
	case KindTrade:
		return s.Trades[k.Name] != nil
	case KindService:
		return s.Services[k.Name] != nil
	case KindJob:
		return s.Jobs[k.Name] != nil
	}
	return false
}

// checkReferences reports references to objects that do not exist.
func checkReferences(set *Set, o Object) []error {
	var errs []error
	for _, ref := range references(set, o) {
		if ref.target.Name != "" && !set.has(ref.target) {
			errs = append(errs, errorAtKey(o, ref.key, "%s refers to %s, which does not exist", ref.key, ref.target))
		}
	}
	return errs
}

// checkCycles reports jobs that depend on themselves through after.
func checkCycles(set *Set, objects []Object) []error {
	var errs []error
	for _, o := range objects {
		if o.Kind != KindJob {
			continue
		}
		if path := findCycle(set, o.Name); path != "" {
			errs = append(errs, errorAtKey(o, "after", "circular reference %s", path))
		}
	}
	return errs
}

// findCycle returns the chain of after references from a job back to itself, or "" if
// there is none.
func findCycle(set *Set, start string) string {
	path := start
	name := start
	for range len(set.Jobs) {
		j := set.Jobs[name]
		if j == nil || j.After == "" {
			return ""
		}
		name = j.After
		path += " -> " + name
		if name == start {
			return path
		}
	}
	return ""
}

// checkLimits reports limits that name an unknown request kind, pairs of limits on the
// same requests, and jobs whose tasks exceed the quota of their customer.
func checkLimits(set *Set, objects []Object) []error {
	var errs []error
	first := make(map[[3]string]string)
	for _, o := range objects {
		switch o.Kind {
		case KindLimit:
			l := set.Limits[o.Name]
			if s := set.Services[l.Service]; s != nil && l.Kind != "" {
				if _, known := s.RequestKind(l.Kind); !known {
					errs = append(errs, errorAtKey(o, "kind", "service %q has no request kind %q", l.Service, l.Kind))
				}
			}
			scope := [3]string{l.Service, l.Kind, l.Trade}
			if other, found := first[scope]; found {
				errs = append(errs, errorAtKey(o, "", "contradicts limit %q on the same requests", other))
			}
			first[scope] = o.Name
		case KindJob:
			errs = append(errs, checkQuota(set, o)...)
		}
	}
	return errs
}

// checkQuota reports a job whose tasks are larger than the quota of its customer.
func checkQuota(set *Set, o Object) []error {
	j := set.Jobs[o.Name]
	t := set.Trades[j.Trade]
	if t == nil || WithinQuota(j.Size, t.Quota) {
		return nil
	}
	return []error{errorAtKey(o, "", "one task is larger than the quota of trade %q", t.Name)}
}

// sortByLine sorts neighbouring errors of the same file by line.
func sortByLine(errs []error) {
	sort.SliceStable(errs, func(i, j int) bool {
		a, okA := errs[i].(*inifile.Error)
		b, okB := errs[j].(*inifile.Error)
		if !okA || !okB || a.File != b.File {
			return false
		}
		return a.Line < b.Line
	})
}
