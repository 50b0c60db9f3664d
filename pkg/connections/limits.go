package connections

import (
	"math"

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
