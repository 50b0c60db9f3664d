package connections

import (
	"math"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// memoryShare is the part of the process's memory that the callers' connections may
	// take up. The rest is for request bodies, the daemon itself and garbage.
	memoryShare = 5
	// descriptorShare is the part of the descriptors that the callers' connections may
	// take up. The rest is for links and backend servers.
	descriptorShare = 2
	// reservedDescriptors are kept free for files.
	reservedDescriptors = 200
)

// The limits of listeners that peers other than callers of routed requests use. Their servers
// parse heads as they arrive, or buffer them in large pieces.
const (
	otherConnBytes   = 192 << 10
	otherMemoryShare = 32
	// callsMemoryShare is that of the listener of calls, and callsMinStall is longer than
	// most calls, which run while nothing is read or written.
	callsMemoryShare = 16
	callsMinStall    = 10 * time.Second
)

// LimitsOfProbes returns the limits for a listener of readiness checks, announcements or
// metrics in a process with the given memory in bytes; 0 means that it is not known.
func LimitsOfProbes(memoryBytes int) Limits {
	return Limits{Bytes: memoryBytes / otherMemoryShare, ConnBytes: otherConnBytes}
}

// The limits of connections to the listener of links that are not links yet.
const (
	handshakeBytes       = 24 << 10
	handshakeMemoryShare = 16
)

// LimitsOfHandshakes returns the limits for connections that are not links yet.
func LimitsOfHandshakes(memoryBytes int) Limits {
	return Limits{Bytes: memoryBytes / handshakeMemoryShare, ConnBytes: handshakeBytes}
}

// LimitsOfCalls returns the limits for the listener of calls.
func LimitsOfCalls(memoryBytes int) Limits {
	return Limits{Bytes: memoryBytes / callsMemoryShare, ConnBytes: otherConnBytes, MinStall: callsMinStall}
}

// LimitsOf returns the limits for the connections of callers in a process with the given
// memory in bytes and number of descriptors; 0 means that these are not known. The number of
// connections is limited by the process's own limit in any case.
func LimitsOf(memoryBytes, descriptors int) Limits {
	out := Limits{Bytes: memoryBytes / memoryShare}
	var own unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &own) == nil && own.Cur < math.MaxInt32 && (descriptors == 0 || int(own.Cur) < descriptors) {
		descriptors = int(own.Cur)
	}
	if descriptors > 0 {
		out.Count = max(descriptors-reservedDescriptors, descriptorShare) / descriptorShare
	}
	return out
}
