// Package trail keeps the most recent decisions of a daemon for the explain command.
package trail

import "time"

// maxEntries is the maximum number of entries in a trail.
const maxEntries = 20_000

// Entry is one decision.
type Entry struct {
	At      time.Time `json:"at"`
	VM      string    `json:"vm"`
	Kind    string    `json:"kind"`
	Name    string    `json:"name"`
	Message string    `json:"message"`
}

// Trail is a ring buffer of entries. The zero value is an empty trail.
type Trail struct {
	entries []Entry
	next    int
}

// Add adds a decision and drops the oldest one if the trail is full.
func (t *Trail) Add(e Entry) {
	if len(t.entries) < maxEntries {
		t.entries = append(t.entries, e)
		return
	}
	t.entries[t.next] = e
	t.next = (t.next + 1) % maxEntries
}

// Find returns the entries about an object, oldest first. An empty kind matches all
// kinds. A name matches itself and all names below it: a run matches its tasks.
func (t *Trail) Find(kind, name string) []Entry {
	var out []Entry
	for i := range t.entries {
		e := t.entries[(t.next+i)%len(t.entries)]
		if (kind == "" || e.Kind == kind) && matches(e.Name, name) {
			out = append(out, e)
		}
	}
	return out
}

func matches(name, want string) bool {
	return name == want || len(name) > len(want) && name[:len(want)] == want && name[len(want)] == '/'
}
