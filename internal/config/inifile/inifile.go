// Package inifile reads INI files and keeps the line of each section and key,
// so that every error can name its place.
//
// The syntax is that of gopkg.in/ini.v1. On top of it a section or a key that
// stands twice is an error, because one of the two would be lost silently.
package inifile

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"strings"

	"gopkg.in/ini.v1"
)

// maxSize is the largest file that is read, in bytes.
const maxSize = 8 << 20

// Key is a key with its value and line.
type Key struct {
	Name  string
	Value string
	Line  int
}

// Section is a section. Title is the text between the brackets.
type Section struct {
	Title string
	File  string
	Line  int
	Keys  []Key
}

// Error is a fault at a place of a file. A zero Line means the whole file.
type Error struct {
	File    string
	Line    int
	Message string
}

func (e *Error) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s", e.File, e.Message)
	}
	return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Message)
}

// ReadFile reads and parses the named file.
func ReadFile(path string) ([]Section, []error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, []error{&Error{File: path, Message: err.Error()}}
	}
	return Parse(path, data)
}

// Parse parses data. It returns all faults at once. The sections are complete
// only if there is none.
func Parse(file string, data []byte) ([]Section, []error) {
	if len(data) > maxSize {
		return nil, []error{&Error{File: file, Message: fmt.Sprintf("larger than %d bytes", maxSize)}}
	}
	opts := ini.LoadOptions{SkipUnrecognizableLines: false, KeyValueDelimiters: "=", IgnoreContinuation: true}
	parsed, err := ini.LoadSources(opts, data)
	if err != nil {
		return nil, []error{&Error{File: file, Message: err.Error()}}
	}
	index, errs := indexLines(file, data)
	var sections []Section
	for _, s := range parsed.Sections() {
		if s.Name() == ini.DefaultSection {
			if len(s.Keys()) > 0 {
				errs = append(errs, &Error{File: file, Line: 1, Message: "key before the first section"})
			}
			continue
		}
		sections = append(sections, withLines(file, s, index))
	}
	return sections, errs
}

func withLines(file string, s *ini.Section, index map[place]int) Section {
	out := Section{Title: s.Name(), File: file, Line: index[place{section: s.Name()}]}
	for _, k := range s.Keys() {
		line := index[place{section: s.Name(), key: k.Name()}]
		out.Keys = append(out.Keys, Key{Name: k.Name(), Value: k.Value(), Line: line})
	}
	return out
}

type place struct {
	section string
	key     string
}

// indexLines finds the line of each section and key, and those that repeat.
func indexLines(file string, data []byte) (map[place]int, []error) {
	index := make(map[place]int)
	var errs []error
	var section string
	scanner := bufio.NewScanner(bytes.NewReader(data))
	scanner.Buffer(nil, maxSize+1)
	for line := 1; scanner.Scan(); line++ {
		text := strings.TrimSpace(scanner.Text())
		at, ok := placeOf(text, &section)
		if !ok {
			continue
		}
		if first, found := index[at]; found {
			what := fmt.Sprintf("section [%s]", at.section)
			if at.key != "" {
				what = fmt.Sprintf("key %q", at.key)
			}
			errs = append(errs, &Error{file, line, fmt.Sprintf("%s stands already on line %d", what, first)})
			continue
		}
		index[at] = line
	}
	return index, errs
}

// placeOf returns what a line declares. It moves section on at a header.
func placeOf(text string, section *string) (place, bool) {
	if text == "" || text[0] == ';' || text[0] == '#' {
		return place{}, false
	}
	if text[0] == '[' {
		end := strings.LastIndexByte(text, ']')
		if end < 0 {
			return place{}, false
		}
		*section = text[1:end]
		return place{section: *section}, true
	}
	key, _, found := strings.Cut(text, "=")
	if !found || *section == "" {
		return place{}, false
	}
	return place{section: *section, key: strings.TrimSpace(key)}, true
}
