// Package catalog reduces the configuration stream to the objects in force.
//
// A change set is one record. It takes effect as a whole or is void. The
// reader checks again what the publisher checked: the version of each object
// that the change touches, and every reference of the resulting set. So of two
// publishers that race for one object only one wins, and changes that have
// nothing to do with each other both do. All readers come to the same answer,
// and the publisher learns its own by reading back. The revision counts the
// change sets that took effect and never goes back.
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

// maxOutcomes is how many outcomes of change sets are remembered.
const maxOutcomes = 4096

// Outcome is what became of a change set.
type Outcome struct {
	ID string
	// Revision is the revision in force since the change. Zero if void.
	Revision uint64
	// Void tells why the change has no effect.
	Void string
}

type versioned struct {
	object  object.Object
	version uint64
}

// Catalog is the state of the configuration stream. Use New.
type Catalog struct {
	next     bamboofall.Offset
	revision uint64
	objects  map[object.Key]versioned
	set      *object.Set
	outcomes map[string]Outcome
	order    []string
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
func (c *Catalog) Next() bamboofall.Offset { return c.next }

// Revision returns the revision in force.
func (c *Catalog) Revision() uint64 { return c.revision }

// Set returns the objects in force. The caller must not change it. It is a new
// set after every change.
func (c *Catalog) Set() *object.Set { return c.set }

// Outcome returns what became of the change set with an id, if it is known.
func (c *Catalog) Outcome(id string) (Outcome, bool) {
	o, ok := c.outcomes[id]
	return o, ok
}

// Version returns the version of an object, or zero if there is none.
func (c *Catalog) Version(k object.Key) uint64 { return c.objects[k].version }

// Objects returns all objects in force, by kind and name.
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

// Apply applies one record of the entry at an offset. Records other than
// change sets are passed over. It returns the outcome of a change set that was
// not known before.
func (c *Catalog) Apply(offset bamboofall.Offset, r *recordpb.Record) (Outcome, bool) {
	change := r.GetChange()
	if change == nil {
		return Outcome{}, false
	}
	if o, seen := c.outcomes[r.GetId()]; seen {
		return o, false
	}
	o := Outcome{ID: r.GetId()}
	objects, err := c.changed(uint64(offset)+1, change)
	if err != nil {
		o.Void = err.Error()
	} else {
		c.revision++
		o.Revision = c.revision
		c.install(objects)
	}
	c.remember(o)
	return o, true
}

// Advance records that the entry at an offset was applied.
func (c *Catalog) Advance(offset bamboofall.Offset) { c.next = offset + 1 }

func (c *Catalog) install(objects map[object.Key]versioned) {
	c.objects = objects
	c.set, _ = object.NewSet(c.Objects())
}

func (c *Catalog) remember(o Outcome) {
	c.outcomes[o.ID] = o
	c.order = append(c.order, o.ID)
	if len(c.order) > maxOutcomes {
		delete(c.outcomes, c.order[0])
		c.order = c.order[1:]
	}
}

// ConflictError says that an object changed since the publisher looked at it.
type ConflictError struct {
	Key  object.Key
	Base uint64
	Now  uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s changed meanwhile: based on version %d, now at %d", e.Key, e.Base, e.Now)
}

// InvalidError lists the faults of the set that a change would lead to.
type InvalidError struct {
	Faults []error
}

func (e *InvalidError) Error() string {
	parts := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		parts[i] = f.Error()
	}
	return strings.Join(parts, "; ")
}

// changed returns the objects after a change, or why it is void.
func (c *Catalog) changed(version uint64, change *recordpb.ChangeSet) (map[object.Key]versioned, error) {
	after := make(map[object.Key]versioned, len(c.objects)+len(change.GetPuts()))
	for k, v := range c.objects {
		after[k] = v
	}
	for _, d := range change.GetDeletes() {
		k := object.Key{Kind: object.Kind(d.GetKind()), Name: d.GetName()}
		if err := c.checkBase(k, d.GetBaseVersion()); err != nil {
			return nil, err
		}
		delete(after, k)
	}
	for _, p := range change.GetPuts() {
		o, err := fromProto(p.GetObject())
		if err != nil {
			return nil, err
		}
		if err := c.checkBase(o.Key, p.GetBaseVersion()); err != nil {
			return nil, err
		}
		after[o.Key] = versioned{o, version}
	}
	all := make([]object.Object, 0, len(after))
	for _, v := range after {
		all = append(all, v.object)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Key.String() < all[j].Key.String() })
	if faults := object.Check(all); len(faults) > 0 {
		return nil, &InvalidError{faults}
	}
	return after, nil
}

func (c *Catalog) checkBase(k object.Key, base uint64) error {
	if now := c.objects[k].version; now != base {
		return &ConflictError{k, base, now}
	}
	return nil
}

// Change returns the change set that puts and deletes objects, based on the
// versions now in force.
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

// Check returns the faults that a change would be void for, if it were the
// next record.
func (c *Catalog) Check(change *recordpb.ChangeSet) error {
	_, err := c.changed(0, change)
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
	s := &recordpb.CatalogSnapshot{Version: Version, NextOffset: uint64(c.next), Revision: c.revision}
	for _, o := range c.Objects() {
		s.Objects = append(s.Objects, &recordpb.CatalogObject{Object: toProto(o), Version: c.Version(o.Key)})
	}
	for _, id := range c.order {
		o := c.outcomes[id]
		s.Outcomes = append(s.Outcomes, &recordpb.ChangeOutcome{Id: id, Revision: o.Revision, VoidReason: o.Void})
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
		return nil, fmt.Errorf("configuration snapshot: version %d is not %d", s.GetVersion(), Version)
	}
	c := New()
	c.next = bamboofall.Offset(s.GetNextOffset())
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
		c.remember(Outcome{o.GetId(), o.GetRevision(), o.GetVoidReason()})
	}
	return c, nil
}
