// Package catalog reduces the configuration stream to the objects in force.
//
// A change set is one record. It takes effect as a whole or is void. Every reader
// repeats the publisher's checks: the version of each object that the change
// touches, and all references in the resulting set. If two publishers change the
// same object at the same time, only one of them succeeds, while unrelated changes
// both succeed. All readers reach the same result, and a publisher learns it by
// reading its record back. The revision counts the change sets that took effect
// and never decreases.
package catalog

import (
	"fmt"
	"sort"
	"strings"

	"google.golang.org/protobuf/proto"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/config/inifile"
	"bamboofall.example/bamboofall/internal/config/object"
	"bamboofall.example/bamboofall/internal/wire/recordpb"
)

// Stream is the name of the configuration stream.
const Stream = "config"

// Version is the format of records and snapshots that this code writes.
const Version = 1

// maxOutcomes is the number of change sets whose outcomes are kept.
const maxOutcomes = 4096

// Outcome is the result of a change set.
type Outcome struct {
	// ID is the ID of the change set's record.
	ID string
	// Revision is the revision that the change created, or zero if it is void.
	Revision uint64
	// VoidReason says why the change has no effect, or is empty.
	VoidReason string
}

// versioned is an object with its version: the offset of its last put, plus
// one.
type versioned struct {
	object  object.Object
	version uint64
}

// Catalog is the state of the configuration stream. Use New. It is not safe for
// concurrent use.
type Catalog struct {
	// nextOffset is the offset of the next entry to apply.
	nextOffset bamboofall.Offset
	revision   uint64
	objects    map[object.Key]versioned
	// set holds the objects in decoded form.
	set *object.Set
	// outcomes holds the latest outcomes by change set.
	outcomes map[string]Outcome
	// outcomeOrder holds the keys of outcomes, oldest first.
	outcomeOrder []string
}

// New returns the state before the first entry.
func New() *Catalog {
	set, _ := object.NewSet(nil)
	return &Catalog{
		objects:  make(map[object.Key]versioned),
		set:      set,
		outcomes: make(map[string]Outcome),
	}
}

// Next returns the offset of the next entry to apply.
func (c *Catalog) Next() bamboofall.Offset { return c.nextOffset }

// Revision returns the revision in force.
func (c *Catalog) Revision() uint64 { return c.revision }

// Set returns the objects in force. The caller must not modify it. Each change
// creates a new set.
func (c *Catalog) Set() *object.Set { return c.set }

// Outcome returns the outcome of a change set, if it is known.
func (c *Catalog) Outcome(id string) (Outcome, bool) {
	o, ok := c.outcomes[id]
	return o, ok
}

// Version returns the version of an object, or zero if it does not exist.
func (c *Catalog) Version(k object.Key) uint64 { return c.objects[k].version }

// Objects returns all objects in force, sorted by kind and name.
func (c *Catalog) Objects() []object.Object {
	all := make([]object.Object, 0, len(c.objects))
	for _, v := range c.objects {
		all = append(all, v.object)
	}
	sort.Slice(all, func(i, j int) bool {
		a, b := all[i].Key, all[j].Key
		if a.Kind != b.Kind {
			return a.Kind < b.Kind
		}
		return a.Name < b.Name
	})
	return all
}

// Apply applies one record of the entry at an offset and ignores records other
// than change sets. It returns the outcome of the change set and whether it is
// new.
func (c *Catalog) Apply(offset bamboofall.Offset, r *recordpb.Record) (Outcome, bool) {
	change := r.GetChange()
	if change == nil {
		return Outcome{}, false
	}
	if o, seen := c.outcomes[r.GetId()]; seen {
		return o, false
	}
	o := Outcome{ID: r.GetId()}
	objects, err := c.objectsAfter(uint64(offset)+1, change)
	if err != nil {
		o.VoidReason = err.Error()
	} else {
		c.revision++
		o.Revision = c.revision
		c.install(objects)
	}
	c.recordOutcome(o)
	return o, true
}

// Advance records that the entry at an offset was applied.
func (c *Catalog) Advance(offset bamboofall.Offset) { c.nextOffset = offset + 1 }

// install puts a valid set of objects in force.
func (c *Catalog) install(objects map[object.Key]versioned) {
	c.objects = objects
	c.set, _ = object.NewSet(c.Objects())
}

// recordOutcome stores an outcome and deletes the oldest beyond maxOutcomes.
func (c *Catalog) recordOutcome(o Outcome) {
	c.outcomes[o.ID] = o
	c.outcomeOrder = append(c.outcomeOrder, o.ID)
	if len(c.outcomeOrder) > maxOutcomes {
		delete(c.outcomes, c.outcomeOrder[0])
		c.outcomeOrder = c.outcomeOrder[1:]
	}
}

// ConflictError says that an object has changed since the publisher read it.
type ConflictError struct {
	Key object.Key
	// Base is the version on which the change is based.
	Base uint64
	// Current is the version in force.
	Current uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s changed meanwhile: based on version %d, now at %d", e.Key, e.Base, e.Current)
}

// InvalidSetError lists the errors in the set that a change would result in.
type InvalidSetError struct {
	Faults []error
}

func (e *InvalidSetError) Error() string {
	parts := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		parts[i] = f.Error()
	}
	return strings.Join(parts, "; ")
}

// objectsAfter returns the objects after a change, or the reason why it is
// void.
func (c *Catalog) objectsAfter(version uint64, change *recordpb.ChangeSet) (map[object.Key]versioned, error) {
	objects := make(map[object.Key]versioned, len(c.objects)+len(change.GetPuts()))
	for k, v := range c.objects {
		objects[k] = v
	}
	for _, d := range change.GetDeletes() {
		k := object.Key{Kind: object.Kind(d.GetKind()), Name: d.GetName()}
		if err := c.checkBase(k, d.GetBaseVersion()); err != nil {
			return nil, err
		}
		delete(objects, k)
	}
	for _, p := range change.GetPuts() {
		o, err := fromProto(p.GetObject())
		if err != nil {
			return nil, err
		}
		if err := c.checkBase(o.Key, p.GetBaseVersion()); err != nil {
			return nil, err
		}
		objects[o.Key] = versioned{o, version}
	}
	all := make([]object.Object, 0, len(objects))
	for _, v := range objects {
		all = append(all, v.object)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Key.String() < all[j].Key.String() })
	if faults := object.Check(all); len(faults) > 0 {
		return nil, &InvalidSetError{faults}
	}
	return objects, nil
}

// checkBase checks that an object still has the version that a change is based
// on.
func (c *Catalog) checkBase(k object.Key, base uint64) error {
	if current := c.objects[k].version; current != base {
		return &ConflictError{k, base, current}
	}
	return nil
}

// Change returns the change set that puts and deletes objects, based on the
// versions in force.
func (c *Catalog) Change(puts []object.Object, deletes []object.Key, author string) *recordpb.ChangeSet {
	change := &recordpb.ChangeSet{Author: author}
	for _, o := range puts {
		change.Puts = append(change.Puts, &recordpb.Put{Object: toProto(o), BaseVersion: c.Version(o.Key)})
	}
	for _, k := range deletes {
		change.Deletes = append(change.Deletes, &recordpb.Delete{Kind: string(k.Kind), Name: k.Name, BaseVersion: c.Version(k)})
	}
	return change
}

// Check returns the reason why a change would be void if it were the next
// record.
func (c *Catalog) Check(change *recordpb.ChangeSet) error {
	_, err := c.objectsAfter(0, change)
	return err
}

func toProto(o object.Object) *recordpb.Object {
	p := &recordpb.Object{Kind: string(o.Kind), Name: o.Name}
	for _, k := range o.Section.Keys {
		p.Fields = append(p.Fields, &recordpb.Field{Key: k.Name, Value: k.Value})
	}
	return p
}

func fromProto(p *recordpb.Object) (object.Object, error) {
	s := inifile.Section{Title: fmt.Sprintf("%s %q", p.GetKind(), p.GetName()), File: "published"}
	for _, f := range p.GetFields() {
		s.Keys = append(s.Keys, inifile.Key{Name: f.GetKey(), Value: f.GetValue()})
	}
	return object.FromSection(s)
}

// Snapshot encodes the state.
func (c *Catalog) Snapshot() ([]byte, error) {
	s := &recordpb.CatalogSnapshot{Version: Version, NextOffset: uint64(c.nextOffset), Revision: c.revision}
	for _, o := range c.Objects() {
		s.Objects = append(s.Objects, &recordpb.CatalogObject{Object: toProto(o), Version: c.Version(o.Key)})
	}
	for _, id := range c.outcomeOrder {
		o := c.outcomes[id]
		s.Outcomes = append(s.Outcomes, &recordpb.ChangeOutcome{Id: id, Revision: o.Revision, VoidReason: o.VoidReason})
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(s)
}

// Restore decodes a snapshot.
func Restore(data []byte) (*Catalog, error) {
	var s recordpb.CatalogSnapshot
	if err := proto.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("configuration snapshot: %w", err)
	}
	if s.GetVersion() != Version {
		return nil, fmt.Errorf("configuration snapshot: unsupported version %d, want %d", s.GetVersion(), Version)
	}
	c := New()
	c.nextOffset = bamboofall.Offset(s.GetNextOffset())
	c.revision = s.GetRevision()
	objects := make(map[object.Key]versioned)
	for _, p := range s.GetObjects() {
		o, err := fromProto(p.GetObject())
		if err != nil {
			return nil, fmt.Errorf("configuration snapshot: %w", err)
		}
		objects[o.Key] = versioned{o, p.GetVersion()}
	}
	c.install(objects)
	for _, o := range s.GetOutcomes() {
		c.recordOutcome(Outcome{o.GetId(), o.GetRevision(), o.GetVoidReason()})
	}
	return c, nil
}
