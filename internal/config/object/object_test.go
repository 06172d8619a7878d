package object_test

import (
	"errors"
	"path/filepath"
	"strings"
	"testing"

	"golang.org/x/tools/txtar"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"bamboofall.example/bamboofall/internal/config/object"
)

// Each archive in testdata is one set of files; the golden file next to it holds all
// errors.
func TestCheckReportsAllErrorsOfSet(t *testing.T) {
	archives, err := filepath.Glob("testdata/*.txtar")
	assert.NilError(t, err)
	assert.Assert(t, len(archives) > 0)
	for _, path := range archives {
		t.Run(filepath.Base(path), func(t *testing.T) {
			archive, err := txtar.ParseFile(path)
			assert.NilError(t, err)
			var objects []object.Object
			var errs []error
			for _, f := range archive.Files {
				found, fileErrs := object.Parse(f.Name, f.Data)
				objects = append(objects, found...)
				errs = append(errs, fileErrs...)
			}
			// Check must not panic on a set that parses.
			errs = append(errs, object.Check(objects)...)
			text := "valid\n"
			if err := errors.Join(errs...); err != nil {
				text = err.Error() + "\n"
			}
			golden.Assert(t, text, strings.TrimSuffix(filepath.Base(path), ".txtar")+".golden")
		})
	}
}

func TestExampleObjectsAreValid(t *testing.T) {
	for _, path := range []string{"../../../examples/gasbag-objects.ini", "../../../examples/prafa-objects.ini"} {
		objects, errs := object.ReadFiles([]string{path})
		assert.NilError(t, errors.Join(errs...))
		assert.NilError(t, errors.Join(object.Check(objects)...))
	}
}

func FuzzParse(f *testing.F) {
	f.Add("[trade \"a\"]\ndataCentre = x\n")
	f.Add("[job \"a\"]\nafter = a\ntrade = \"\"\nprocessors = -1\n")
	f.Add("[x \"]\n=\n[[\n")
	f.Fuzz(func(t *testing.T, text string) {
		objects, errs := object.Parse("f", []byte(text))
		if len(errs) == 0 {
			// A set that parses must be checked without a panic.
			object.Check(objects)
		}
	})
}
