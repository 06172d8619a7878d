package history

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func TestHistoryOrdersLinesOfSeveralVMsByTime(t *testing.T) {
	var h History
	for _, name := range []string{"testdata/a.log", "testdata/b.log"} {
		f, err := os.Open(name)
		assert.NilError(t, err)
		defer f.Close()
		assert.NilError(t, h.Read(f, "aa9b92bd05a6a182"))
	}
	assert.Equal(t, h.UnparsedLines, 1)
	var out bytes.Buffer
	assert.NilError(t, h.Write(&out))
	golden.Assert(t, out.String(), "history.golden")
}

// One overlong line must not hide the rest of a log.
func TestReadSkipsOverlongLine(t *testing.T) {
	const line = `{"job":"a","msg":"m","time":"2026-01-01T00:00:00Z"}`
	overlong := `{"job":"a","detail":"` + strings.Repeat("x", 3<<20) + `"}`
	var h History
	assert.NilError(t, h.Read(strings.NewReader(line+"\n"+overlong+"\n"+line), "a"))
	assert.Equal(t, len(h.Lines), 2)
	assert.Equal(t, h.UnparsedLines, 1)
}

func FuzzRead(f *testing.F) {
	f.Add(`x {"job":"a","msg":"m","time":"2026-01-01T00:00:00Z"}`)
	f.Fuzz(func(t *testing.T, text string) {
		var h History
		if h.Read(strings.NewReader(text), "a") == nil {
			assert.NilError(t, h.Write(&bytes.Buffer{}))
		}
	})
}
