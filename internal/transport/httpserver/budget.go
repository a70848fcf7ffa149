package httpserver

import "syscall"

const (
	// callerMemoryShare of a process's memory may hold requests of callers and answers that
	// were not sent yet.
	callerMemoryShare = 0.25
	// connectionMemoryShare of a process's memory may hold bytes that the kernel has received
	// on callers' connections, connectionBytes each.
	connectionMemoryShare = 0.15
	connectionBytes       = 2 * receiveBufferBytes
	// reservedDescriptors are for files.
	reservedDescriptors = 200
	// callerDescriptorShare of the other descriptors is for callers' connections. Each request
	// that runs may need a connection to a backend server.
	callerDescriptorShare = 0.45
	// otherConnections are kept for the ready and the metrics address, and directoryShare of
	// those for requests for the directory.
	otherConnections = 96
	directoryShare   = 0.1
	minConnections   = 16
)

// Budget is what the callers of a process may make it hold.
type Budget struct {
	// MemoryBytes bounds their requests and unsent answers.
	MemoryBytes int64
	// Connections bounds the connections for requests, and DirectoryConnections those to a
	// directory.
	Connections, DirectoryConnections int
}

// NewBudget divides the memory and the descriptors of a process. The descriptors are also
// bounded by the limit that the system has set.
func NewBudget(memoryBytes float64, descriptors int) Budget {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur > 0 && limit.Cur < uint64(descriptors) {
		descriptors = int(limit.Cur)
	}
	connections := min(int(callerDescriptorShare*float64(descriptors-reservedDescriptors)), int(connectionMemoryShare*memoryBytes/connectionBytes))
	connections = max(int(float64(connections-otherConnections)/(1+directoryShare)), minConnections)
	return Budget{
		MemoryBytes:          int64(callerMemoryShare * memoryBytes),
		Connections:          connections,
		DirectoryConnections: max(int(directoryShare*float64(connections)), minConnections),
	}
}
