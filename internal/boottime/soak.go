//go:build soak

package boottime

import (
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Suspension is by how much each SIGUSR2 advances the clock of a program that is built with the
// soak tag: a soak test can stop a process, but can't suspend its machine.
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
