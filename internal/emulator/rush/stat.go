package rush

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// clockTick is the unit of processor times in /proc: USER_HZ is 100 on Linux.
const clockTick = 10 * time.Millisecond

// StatError reports that the processor time of a process can't be read.
type StatError struct {
	Pid int
	Err error
}

func (e *StatError) Error() string {
	return fmt.Sprintf("rush: processor time of process %d: %v", e.Pid, e.Err)
}

// Unwrap returns the cause.
func (e *StatError) Unwrap() error { return e.Err }

// ProcessorTime returns the user and system time that a process has used, from Linux's /proc. It
// returns a *StatError if it can't be read.
func ProcessorTime(pid int) (time.Duration, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, &StatError{Pid: pid, Err: err}
	}
	_, rest, _ := strings.Cut(string(b), ") ") // skips the process name, which may contain blanks
	var state string
	var skip, user, system int64
	_, err = fmt.Sscan(rest, &state, &skip, &skip, &skip, &skip, &skip, &skip, &skip, &skip, &skip, &skip, &user, &system)
	if err != nil {
		return 0, &StatError{Pid: pid, Err: err}
	}
	return time.Duration(user+system) * clockTick, nil
}
