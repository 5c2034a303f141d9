//go:build soak

package boottime

import (
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Suspension is by how much the clock of a program that is built for the soak goes on with
// each SIGUSR2: a soak can stop a process, and can't suspend its machine.
const Suspension = 3 * time.Second

func init() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR2)
	go func() {
		for range signals {
			Suspend(Suspension)
		}
	}()
}
