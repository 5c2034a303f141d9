package http1

import "golang.org/x/sys/unix"

// The memory of a process is divided: a quarter for connections with an ordinary request each, a quarter for other
// requests and their answers, and half for the process itself and what the garbage collector has not freed yet.
const (
	connShare    = 0.25
	requestShare = 0.25
	// heapShare is where the garbage collector begins to keep the process small at the expense of time. The
	// rest is for the program's text and what the runtime doesn't count.
	heapShare = 0.7
	// connBytes is what a connection holds with one ordinary request: stacks, buffers, the request, its answer
	// and the connection to a target.
	connBytes = 32 << 10
	// minConns may be accepted however small the memory is: the callers of a small deployment.
	minConns = 512
)

// memoryBytes returns the memory of a process that may have memoryMB, or of the machine if that is 0.
func memoryBytes(memoryMB int) float64 {
	if memoryMB > 0 {
		return float64(memoryMB) * (1 << 20)
	}
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return defaultMemory
	}
	return float64(info.Totalram) * float64(info.Unit)
}

const defaultMemory = 256 << 20 // where the machine doesn't tell

// RequestMemory returns how many bytes of a process with memoryMB requests and their answers may hold; 0 is the
// memory of the machine.
func RequestMemory(memoryMB int) int64 { return int64(requestShare * memoryBytes(memoryMB)) }

// MaxConns returns how many connections such a process may accept.
func MaxConns(memoryMB int) int {
	return max(minConns, int(connShare*memoryBytes(memoryMB)/connBytes))
}

// HeapLimit returns how many bytes the Go runtime of such a process should use at most.
func HeapLimit(memoryMB int) int64 { return int64(heapShare * memoryBytes(memoryMB)) }
