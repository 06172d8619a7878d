package crowd

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	// smallMemoryMB and smallDescriptors are those of the smallest VM: its descriptors
	// are many for its memory.
	smallMemoryMB    = 160
	smallDescriptors = 4100
	// limitsVariable changes the settings of a process that is started.
	limitsVariable = "BAMBOOFALL_CROWD_LIMITS"
)

// The started process changes its own settings before it reads them.
func init() {
	path, _, _ := strings.Cut(os.Getenv(processVariable), " ")
	limits := os.Getenv(limitsVariable)
	if path == "" || limits == "" {
		return
	}
	memory, files, _ := strings.Cut(limits, " ")
	text, err := os.ReadFile(path)
	if err == nil {
		for _, change := range [][2]string{
			{fmt.Sprintf("memory_mb = %d\n", memoryMB), "memory_mb = " + memory + "\n"},
			{fmt.Sprintf("file_descriptors = %d\n", descriptors), "file_descriptors = " + files + "\n"},
		} {
			if !bytes.Contains(text, []byte(change[0])) {
				err = fmt.Errorf("the settings lack %q", change[0])
			}
			text = bytes.Replace(text, []byte(change[0]), []byte(change[1]), 1)
		}
	}
	if err == nil {
		err = os.WriteFile(path, text, 0o600)
	}
	if err != nil {
		panic(err)
	}
}

// assertWithin checks that the process lives and has stayed within the given memory and
// descriptors.
func (p *process) assertWithin(memoryMB, descriptors int64) {
	p.t.Helper()
	p.awaitSteady()
	p.stop()
	p.sampling.Wait()
	p.assertLives()
	memory := max(p.peakMemory, p.statusBytes("VmHWM"))
	p.t.Logf("peak memory %d MB, of it %d MB in the kernel at most; %d descriptors", memory>>20, p.peakKernel>>20, p.peakDescriptors)
	assert.Check(p.t, memory <= memoryMB<<20, "peak memory is %d MB, the VM has %d MB", memory>>20, memoryMB)
	assert.Check(p.t, p.peakDescriptors <= descriptors, "%d descriptors, the VM has %d", p.peakDescriptors, descriptors)
}

// Nobody reads, so the kernel's buffers of all connections fill.
func TestPipelinedRequestsAtSmallestVM(t *testing.T) {
	request := []byte("GET /nothing HTTP/1.1\r\nHost: jobs.example\r\n\r\n")
	many := bytes.Repeat(request, 1+len(block)/len(request))
	callers, peers := (*process).callersPort, (*process).peersPort
	for _, c := range []struct {
		name  string
		ports []func(*process) int
	}{
		{"callers", []func(*process) int{callers}},
		{"peers", []func(*process) int{peers}},
		{"both", []func(*process) int{callers, peers}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Setenv(limitsVariable, fmt.Sprintf("%d %d", smallMemoryMB, smallDescriptors))
			p := startProcess(t)
			var all sync.WaitGroup
			for _, port := range c.ports {
				all.Go(func() {
					p.sendCrowd(port(p), 1300, func(c *client) { c.sendRepeatedly(many, large) })
				})
			}
			all.Wait()
			p.assertAnswered("after the crowd")
			p.assertWithin(smallMemoryMB, smallDescriptors)
		})
	}
}
