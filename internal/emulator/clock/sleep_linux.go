package clock

import (
	"syscall"
	"time"
)

// nanosleep blocks its thread for d; a signal may end it early.
func nanosleep(d time.Duration) {
	ts := syscall.NsecToTimespec(d.Nanoseconds())
	_ = syscall.Nanosleep(&ts, nil)
}
