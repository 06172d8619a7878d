package front

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

func logEntries() []*logrus.Entry {
	at := time.Date(2026, 3, 4, 5, 6, 7, 89_000_000, time.UTC)
	var entries []*logrus.Entry
	for i, fields := range []logrus.Fields{
		{},
		{"epoch": uint64(3), "job": "5c0e7a21d94b36f8", "task": "5c0e7a21d94b36f8.0.1.17", "worker": "i-7f3a91c2", "run": uint32(1), "detail": "waited 20ms, worker uses 47100 of 48000"},
		{"method": "POST", "status": 429, "message": "a \"quote\", a <tag> & a back\\slash", "ms": int64(-5), "reason": ""},
		{"time": "clash", "msg": "clash", "level": 1, "kind": "é\n\x7f\xff\u2028"},
		{"error": errors.New("connect to 10.0.0.1:80: refused"), "ok": true, "after": time.Second, "vms": []string{"a", "b"}, "vm": bamboofall.VMID("entry-a-1"), "none": nil},
	} {
		entries = append(entries, &logrus.Entry{Logger: logrus.New(), Data: fields, Time: at.Add(time.Duration(i) * time.Hour), Level: logrus.InfoLevel, Message: "line \"" + string(rune('a'+i)) + "\""})
	}
	return entries
}

func TestLinesMatchLogrusJSONFormatter(t *testing.T) {
	var all bytes.Buffer
	for _, e := range logEntries() {
		want, err := (&logrus.JSONFormatter{TimestampFormat: timestampLayout}).Format(e)
		assert.NilError(t, err)
		got, err := jsonFormatter{}.Format(e)
		assert.NilError(t, err)
		assert.Equal(t, string(got), string(want))
		all.Write(got)
	}
	golden.Assert(t, all.String(), "lines.golden")
}

func TestLinesNameTheVM(t *testing.T) {
	var out bytes.Buffer
	l := NewLog(&out, "entry-a-1")
	l.Note(3, cell.Note{Event: "start", Job: "5c0e7a21d94b36f8", Run: 2})
	l.Event("claimed", nil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.NilError(t, l.Run(ctx))
	lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
	assert.Equal(t, len(lines), 2)
	for _, line := range lines {
		assert.Assert(t, bytes.Contains(line, []byte(`"vm":"entry-a-1"`)), "%s", line)
	}
	assert.Assert(t, bytes.Contains(lines[0], []byte(`"epoch":3,"job":"5c0e7a21d94b36f8","level":"info","msg":"start","run":2,`)), "%s", lines[0])
}
