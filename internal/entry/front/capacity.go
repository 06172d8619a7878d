package front

import (
	"github.com/sirupsen/logrus"

	"bamboofall.example/bamboofall/platform"
)

// linkBitsPerMilli is the link that the work of a thousandth of a processor fills,
// in bits a second: a hold of 748 bytes takes 172 us (platform.BenchmarkHold).
const linkBitsPerMilli = 35_000

// capacityOf returns what a VM can carry as the owner: its processor time, or the
// part of a processor that its link can feed if that is less, in thousandths of a
// processor. It returns zero if neither is known.
func capacityOf(m platform.Machine) uint32 {
	fed := uint32(min(m.LinkBits/linkBitsPerMilli, 1<<31))
	switch {
	case m.LinkBits == 0:
		return m.MilliProcessors
	case m.MilliProcessors == 0:
		return max(1, fed)
	}
	return max(1, min(m.MilliProcessors, fed))
}

// machine tells what this VM has and can carry.
func (f *Front) machine() logrus.Fields {
	m := f.set.Machine
	return logrus.Fields{
		"capacity": capacityOf(m), "milliProcessors": m.MilliProcessors, "linkBits": m.LinkBits, "memoryBytes": m.MemoryBytes,
	}
}
