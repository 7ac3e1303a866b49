package provisioner

import "burdocklink/listener"

// How the memory of an entry's VM is divided. About 30 MB are in use without callers, and
// the collector needs as much again as what changes often.
const (
	// bodyMemoryDivisor is the inverse of the part for headers and bodies of requests.
	bodyMemoryDivisor = 6
	// answerMemoryDivisor is the inverse of the part for whole answers, which may take
	// three times as much while they grow.
	answerMemoryDivisor = 8
	// connectionBytes is the memory that allows for one more connection. Its buffers and
	// goroutines take about 30 KB; a sixteenth of the memory is used if all are open.
	connectionBytes = 256 << 10
	// descriptorsPerConnection leaves descriptors for connections to upstreams and other
	// processes.
	descriptorsPerConnection = 4
)

// connectionLimit returns how many connections of callers an entry accepts. Unknown sizes
// are zero.
func connectionLimit(memoryBytes int64, descriptors int) int {
	limit := listener.DefaultConnections
	if memoryBytes > 0 {
		limit = min(limit, int(memoryBytes/connectionBytes))
	}
	if descriptors > 0 {
		limit = min(limit, descriptors/descriptorsPerConnection)
	}
	return max(1, limit)
}
