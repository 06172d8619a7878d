package settings_test

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall/internal/config/settings"
)

// validEntry holds the required keys of the entry section.
const validEntry = `[entry]
vm = entry-01
dataCentre = north
callers = 127.0.0.1:8080
peers = 127.0.0.1:8081
platform = 127.0.0.1:8082
`

func read(t *testing.T, text string) (*settings.Settings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "entry.ini")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return settings.ReadFile(path)
}

func TestReadFileRejectsInvalidSettings(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"missing section":              {"[timing]\nsync = 1s\n", "section [entry] is missing"},
		"missing key":                  {"[entry]\nvm = a\n", `key "dataCentre" is missing`},
		"host name instead of address": {validEntry + "neighbours = host:1\n", "neighbours"},
		"unknown key":                  {validEntry + "speed = 1\n", `entry.ini:7: unknown key "speed"`},
		"unknown section":              {validEntry + "[colour]\n", "unknown section [colour]"},
		"fence not below takeover":     {validEntry + "[timing]\nfence = 7s\n", "fence 7s must be below takeover 6s"},
		"lease shorter than takeover":  {validEntry + "[timing]\nlease = 5s\n", "takeover 8s must be below lease 5s"},
		"unknown log level":            {validEntry + "logLevel = loud\n", "logLevel"},
		"tail weight out of range":     {validEntry + "[batch]\ntailWeight = 2\n", "not between 0 and 1"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := read(t, c.text)
			assert.ErrorContains(t, err, c.want)
		})
	}
}

func TestReadFileReadsWrittenSettings(t *testing.T) {
	want, err := read(t, validEntry+"neighbours = 127.0.0.1:9, 127.0.0.1:10\n[timing]\nlease = 20s\n")
	assert.NilError(t, err)
	var text bytes.Buffer
	assert.NilError(t, want.Write(&text))
	got, err := read(t, text.String())
	assert.NilError(t, err)
	assert.Equal(t, got.Timing, want.Timing)
	assert.Assert(t, slices.Equal(got.Neighbours, want.Neighbours))
}
