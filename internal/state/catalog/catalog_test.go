package catalog_test

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/config/object"
	"bamboofall.example/bamboofall/internal/state/catalog"
	"bamboofall.example/bamboofall/internal/wire/recordpb"
)

// sampleObjects refer to each other. Some combinations of them are invalid.
var sampleObjects = []string{
	"[trade \"a\"]\ndataCentre = x\n", "[trade \"b\"]\ndataCentre = x\n", "[job \"j\"]\ntrade = a\n",
	"[job \"k\"]\ntrade = b\nafter = j\n", "[job \"j\"]\ntrade = b\nafter = k\n", "[service \"s\"]\nonce = t\n",
	"[limit \"l\"]\nservice = s\nrate = 1\n",
}

func parse(text string) []object.Object {
	objects, _ := object.Parse("test", []byte(text))
	return objects
}

// Publishers race: each bases its change on an old state. All readers must
// reach the same state even if records are repeated, the revision must never
// decrease, and the set in force must always be valid.
func TestReadersAgreeOnConcurrentChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := catalog.New(), catalog.New()
		var written []*recordpb.Record
		for i := range rapid.IntRange(1, 30).Draw(t, "changes") {
			base := first
			if rapid.Bool().Draw(t, "stale") {
				base = catalog.New()
			}
			objects := parse(rapid.SampledFrom(sampleObjects).Draw(t, "object"))
			r := &recordpb.Record{Id: fmt.Sprint(i), Body: &recordpb.Record_Change{Change: base.Change(objects, nil, "op")}}
			if len(written) > 0 && rapid.Bool().Draw(t, "repeat") {
				r = rapid.SampledFrom(written).Draw(t, "again")
			}
			written = append(written, r)
			before := first.Revision()
			offset := bamboofall.Offset(i)
			apply(first, offset, r)
			apply(second, offset, r)
			if first.Revision() < before {
				t.Fatalf("revision decreased from %d to %d", before, first.Revision())
			}
			if faults := object.Check(first.Objects()); len(faults) > 0 {
				t.Fatalf("an invalid set is in force: %v", faults)
			}
			if rapid.Bool().Draw(t, "restart") {
				second = restoreCopy(t, second)
			}
		}
		if !bytes.Equal(snapshot(t, first), snapshot(t, second)) {
			t.Fatal("two readers of the same records have different states")
		}
	})
}

func apply(c *catalog.Catalog, offset bamboofall.Offset, r *recordpb.Record) {
	c.Apply(offset, r)
	c.Advance(offset)
}

func snapshot(t interface{ Fatal(...any) }, c *catalog.Catalog) []byte {
	data, err := c.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func restoreCopy(t *rapid.T, c *catalog.Catalog) *catalog.Catalog {
	restored, err := catalog.Restore(snapshot(t, c))
	if err != nil {
		t.Fatal(err)
	}
	return restored
}

func FuzzRestore(f *testing.F) {
	c := catalog.New()
	r := &recordpb.Record{Id: "1", Body: &recordpb.Record_Change{Change: c.Change(parse(sampleObjects[0]), nil, "op")}}
	apply(c, 0, r)
	assert.Equal(f, c.Revision(), uint64(1))
	f.Add(snapshot(f, c))
	f.Fuzz(func(t *testing.T, data []byte) {
		if restored, err := catalog.Restore(data); err == nil {
			snapshot(t, restored)
		}
	})
}

// BenchmarkChange measures a change to a set of objects. The target has 340
// trades, besides jobs, watches and limits.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{100, 1000, 4000} {
		b.Run(fmt.Sprintf("objects%d", n), func(b *testing.B) {
			c := catalog.New()
			var text bytes.Buffer
			for i := range n {
				fmt.Fprintf(&text, "[trade \"t%d\"]\ndataCentre = x\n", i)
			}
			apply(c, 0, &recordpb.Record{Id: "all", Body: &recordpb.Record_Change{Change: c.Change(parse(text.String()), nil, "op")}})
			change := parse("[trade \"t1\"]\ndataCentre = x\nweight = 2\n")
			i := 0
			for b.Loop() {
				i++
				apply(c, bamboofall.Offset(i), &recordpb.Record{
					Id: fmt.Sprint(i), Body: &recordpb.Record_Change{Change: c.Change(change, nil, "op")},
				})
			}
			if c.Revision() != uint64(i)+1 {
				b.Fatal("changes were void")
			}
			b.ReportMetric(float64(len(snapshot(b, c)))/float64(n), "B/object")
		})
	}
}
