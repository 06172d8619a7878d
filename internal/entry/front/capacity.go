package front

import (
	"github.com/sirupsen/logrus"

	"bamboofall.example/bamboofall/platform"
)

// linkBitsPerMilliProcessor is the link rate, in bits a second, that one thousandth of a
// processor saturates: a hold call transfers 748 bytes and takes 172 µs of processor
// time (platform.BenchmarkHold).
const linkBitsPerMilliProcessor = 35_000

// vmCapacity returns how much processor time a VM can use as the owner, in thousandths
// of a processor: all of it, or less if its link is the bottleneck. It returns zero if
// neither is known.
func vmCapacity(m platform.Machine) uint32 {
	linkCapacity := uint32(min(m.LinkBitsPerSecond/linkBitsPerMilliProcessor, 1<<31))
	switch {
	case m.LinkBitsPerSecond == 0:
		return m.MilliProcessors
	case m.MilliProcessors == 0:
		return max(1, linkCapacity)
	}
	return max(1, min(m.MilliProcessors, linkCapacity))
}

// machineFields returns the resources and the capacity of this VM for log lines.
func (f *Front) machineFields() logrus.Fields {
	m := f.settings.Machine
	return logrus.Fields{
		"capacity": vmCapacity(m), "milliProcessors": m.MilliProcessors, "linkBits": m.LinkBitsPerSecond, "memoryBytes": m.MemoryBytes,
	}
}
