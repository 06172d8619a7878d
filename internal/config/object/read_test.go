package object_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall/internal/config/object"
)

// An object of an unknown kind must not hide the errors in other objects.
func TestCheckFilesReportsTitleAndFieldErrorsTogether(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a.ini")
	assert.NilError(t, os.WriteFile(path, []byte("[nonsense \"x\"]\n\n[service \"s\"]\nbogus = 1\n"), 0o600))
	_, errs := object.CheckFiles([]string{path})
	text := errors.Join(errs...).Error()
	assert.ErrorContains(t, errors.Join(errs...), `nonsense "x": unknown kind`)
	assert.ErrorContains(t, errors.Join(errs...), "bogus", text)
}
