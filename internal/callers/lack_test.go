package callers

import (
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/firlever/firlever/internal/targets"
)

// A connect that failed for want of descriptors here was told to the node as a failure of the target.
func TestLackOfDescriptorsIsTold(t *testing.T) {
	for err, want := range map[syscall.Errno]bool{syscall.EMFILE: true, syscall.ENOBUFS: true, syscall.ECONNREFUSED: false} {
		dial := &targets.NotSentError{Err: &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", err)}}
		if got := sendFailure(dial).LackedHere; got != want {
			t.Errorf("%v: got %t, want %t", err, got, want)
		}
	}
}
