//go:build !linux

package clock

import "time"

func nanosleep(d time.Duration) { time.Sleep(d) }
