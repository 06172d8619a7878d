// Package inifile parses INI files and records the line of each section and key, so
// that errors can refer to it.
//
// The syntax is that of gopkg.in/ini.v1, except that duplicate sections and keys are
// errors: otherwise one of the two would be lost silently.
package inifile

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"strings"

	"gopkg.in/ini.v1"
)

// maxFileSize is the size of the largest accepted file, in bytes.
const maxFileSize = 8 << 20

// Key is a key with its value and line number.
type Key struct {
	Name  string
	Value string
	Line  int
}

// Section is a section of a file. Title is the text between the brackets.
type Section struct {
	Title string
	File  string
	Line  int
	Keys  []Key
}

// Error is an error in a file. A zero Line refers to the whole file.
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

// Parse parses the content of a file and returns all errors. The sections are complete
// only if there are none.
func Parse(file string, data []byte) ([]Section, []error) {
	if len(data) > maxFileSize {
		return nil, []error{&Error{File: file, Message: fmt.Sprintf("file is larger than %d bytes", maxFileSize)}}
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
		sections = append(sections, convertSection(file, s, index))
	}
	return sections, errs
}

// convertSection converts a section of ini.v1 and adds the line numbers.
func convertSection(file string, s *ini.Section, index map[location]int) Section {
	converted := Section{Title: s.Name(), File: file, Line: index[location{section: s.Name()}]}
	for _, k := range s.Keys() {
		line := index[location{section: s.Name(), key: k.Name()}]
		converted.Keys = append(converted.Keys, Key{Name: k.Name(), Value: k.Value(), Line: line})
	}
	return converted
}

// location identifies a section, or one of its keys if key is not empty.
type location struct {
	section string
	key     string
}

// indexLines returns the line of each section and key, and an error for each
// duplicate.
func indexLines(file string, data []byte) (map[location]int, []error) {
	index := make(map[location]int)
	var errs []error
	var section string
	scanner := bufio.NewScanner(bytes.NewReader(data))
	scanner.Buffer(nil, maxFileSize+1)
	for line := 1; scanner.Scan(); line++ {
		text := strings.TrimSpace(scanner.Text())
		loc, ok := parseLocation(text, &section)
		if !ok {
			continue
		}
		if first, found := index[loc]; found {
			subject := fmt.Sprintf("section [%s]", loc.section)
			if loc.key != "" {
				subject = fmt.Sprintf("key %q", loc.key)
			}
			errs = append(errs, &Error{file, line, fmt.Sprintf("%s is already defined on line %d", subject, first)})
			continue
		}
		index[loc] = line
	}
	return index, errs
}

// parseLocation returns the section or key that a line declares. A section header
// updates *section.
func parseLocation(text string, section *string) (location, bool) {
	if text == "" || text[0] == ';' || text[0] == '#' {
		return location{}, false
	}
	if text[0] == '[' {
		end := strings.LastIndexByte(text, ']')
		if end < 0 {
			return location{}, false
		}
		*section = text[1:end]
		return location{section: *section}, true
	}
	key, _, found := strings.Cut(text, "=")
	if !found || *section == "" {
		return location{}, false
	}
	return location{section: *section, key: strings.TrimSpace(key)}, true
}
