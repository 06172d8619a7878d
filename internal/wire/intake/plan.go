package intake

// Machine is what a process has for its connections. Unknown values are zero.
type Machine struct {
	MemoryBytes uint64
	// Sockets is the number of descriptors for sockets.
	Sockets int
}

// Plan divides a machine among the servers of a process.
type Plan struct {
	// Callers and Peers are the limits of the servers for callers and for peers, Probes
	// those of each server that answers probes and metrics.
	Callers, Peers, Probes Limits
	// Sockets is the number of sockets of the process.
	Sockets int
	// StoreResponses, WorkerResponses and PeerResponses are the limits of what the
	// process reads as a client.
	StoreResponses, WorkerResponses, PeerResponses ResponseLimits
}

// ResponseLimits bounds the responses that a client reads.
type ResponseLimits struct {
	// Bytes is the size of the largest response.
	Bytes int64
	// AllBytes bounds the responses that are being read together. A response of
	// AlwaysBytes or less does not fail for others.
	AllBytes, AlwaysBytes int64
}

const (
	// defaultMemory and defaultSockets are those of a machine of which nothing is known.
	defaultMemory  = 512 << 20
	defaultSockets = 4096

	// byteShare is the share of the memory that the requests of callers, and those of
	// peers, may take as they arrive, as 1/byteShare. While it is received and decoded, a
	// request takes several times its size.
	byteShare = 24
	// minBytes is the least such share, so that several requests of the largest size fit.
	minBytes = 2 << 20

	// connectionShare is the share of the sockets that callers, and peers, may take, as
	// 1/connectionShare. The rest is left to the process's own connections.
	connectionShare = 3
	// callerMemoryShare, peerMemoryShare and probeMemoryShare are the shares of the memory
	// that the connections of a server may take with their kernel buffers, as 1/share. All
	// servers together take less than 3/8, and less than 1/2 with those that wait to be accepted.
	callerMemoryShare = 5
	peerMemoryShare   = 10
	probeMemoryShare  = 32
	// ownConnectionBytes is the memory of an open connection without a request, beside
	// the kernel's buffers.
	ownConnectionBytes = 16 << 10
	// callerSocketBuffer and peerSocketBuffer are the sizes of the kernel's buffers of a
	// connection in each direction, in bytes.
	callerSocketBuffer = 16 << 10
	peerSocketBuffer   = 32 << 10

	// probeConnections and probeBytes are the limits of servers for probes, and probeShare
	// the share of the sockets that each of them may take, as 1/probeShare.
	probeConnections = 64
	probeBytes       = 256 << 10
	probeShare       = 16

	// maxStoreResponse, maxWorkerResponse and maxPeerResponse are the sizes of the
	// largest responses.
	maxStoreResponse  = 4 << 20
	maxWorkerResponse = 1 << 20
	maxPeerResponse   = 4 << 20
	// alwaysResponse is the size up to which a response does not fail for others.
	alwaysResponse = 16 << 10
)

// connectionBytes returns the memory of an open connection. The kernel counts twice the
// size of each of its two buffers.
func connectionBytes(socketBuffer int) int64 { return ownConnectionBytes + 2*2*int64(socketBuffer) }

// PlanFor returns the plan for a machine.
func PlanFor(m Machine) Plan {
	if m.MemoryBytes == 0 {
		m.MemoryBytes = defaultMemory
	}
	if m.Sockets <= 0 {
		m.Sockets = defaultSockets
	}
	memory := int64(min(m.MemoryBytes, 1<<50))
	limits := func(sockets, memoryShare, socketBuffer int, bytes int64) Limits {
		fit := int(memory / int64(memoryShare) / connectionBytes(socketBuffer))
		return Limits{Connections: max(1, min(sockets, fit)), Bytes: bytes, SocketBuffer: socketBuffer}
	}
	bytes := max(minBytes, memory/byteShare)
	responses := func(most int64) ResponseLimits {
		return ResponseLimits{Bytes: most, AllBytes: max(most, memory/byteShare), AlwaysBytes: alwaysResponse}
	}
	return Plan{
		StoreResponses: responses(maxStoreResponse), WorkerResponses: responses(maxWorkerResponse), PeerResponses: responses(maxPeerResponse),
		Callers: limits(m.Sockets/connectionShare, callerMemoryShare, callerSocketBuffer, bytes),
		Peers:   limits(m.Sockets/connectionShare, peerMemoryShare, peerSocketBuffer, bytes),
		Probes:  limits(min(probeConnections, m.Sockets/probeShare), probeMemoryShare, callerSocketBuffer, probeBytes),
		Sockets: m.Sockets,
	}
}
