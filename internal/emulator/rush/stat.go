package rush

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// clockTick is the unit of the kernel's account.
const clockTick = 10 * time.Millisecond

// StatError says that the kernel's account of a process can't be read.
type StatError struct {
	Pid int
	Err error
}

func (e *StatError) Error() string {
	return fmt.Sprintf("rush: account of process %d: %v", e.Pid, e.Err)
}

// Unwrap returns the cause.
func (e *StatError) Unwrap() error { return e.Err }

// ProcessorTime is what a process has used so far, by Linux's account. It returns a
// *StatError.
func ProcessorTime(pid int) (time.Duration, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, &StatError{Pid: pid, Err: err}
	}
	_, rest, _ := strings.Cut(string(b), ") ") // the name may hold blanks
	var state string
	var skip, user, system int64
	_, err = fmt.Sscan(rest, &state, &skip, &skip, &skip, &skip, &skip, &skip, &skip, &skip, &skip, &skip, &user, &system)
	if err != nil {
		return 0, &StatError{Pid: pid, Err: err}
	}
	return time.Duration(user+system) * clockTick, nil
}
