package tcp

import (
	"errors"
	"slices"
	"syscall"
)

// LacksResources reports whether a connection could not be opened for want of descriptors, memory or
// ports of this machine, which says nothing about the peer.
func LacksResources(err error) bool {
	return slices.ContainsFunc([]error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}, func(lack error) bool {
		return errors.Is(err, lack)
	})
}
