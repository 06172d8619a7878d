package front

import (
	"github.com/sirupsen/logrus"

	"bamboofall.example/bamboofall/platform"
)

// linkBitsPerMilliProcessor is the link that the work of a thousandth of a processor fills,
// in bits a second: a hold of 748 bytes takes 172 us (platform.BenchmarkHold).
const linkBitsPerMilliProcessor = 35_000

// vmCapacity returns what a VM can carry as the owner: its processor time, or the
// part of a processor that its link can feed if that is less, in thousandths of a
// processor. It returns zero if neither is known.
func vmCapacity(m platform.Machine) uint32 {
	linkCapacity := uint32(min(m.LinkBits/linkBitsPerMilliProcessor, 1<<31))
	switch {
	case m.LinkBits == 0:
		return m.MilliProcessors
	case m.MilliProcessors == 0:
		return max(1, linkCapacity)
	}
	return max(1, min(m.MilliProcessors, linkCapacity))
}

// machineFields tells what this VM has and can carry.
func (f *Front) machineFields() logrus.Fields {
	m := f.settings.Machine
	return logrus.Fields{
		"capacity": vmCapacity(m), "milliProcessors": m.MilliProcessors, "linkBits": m.LinkBits, "memoryBytes": m.MemoryBytes,
	}
}
