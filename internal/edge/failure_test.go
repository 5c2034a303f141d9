package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/firlever/firlever/internal/http1"
	"github.com/firlever/firlever/internal/steer"
)

func TestFailureOf(t *testing.T) {
	left, cancel := context.WithCancel(context.Background())
	cancel()
	unsent := func(err error) error { return &http1.NotSentError{Err: err} }
	tests := map[string]struct {
		ctx  context.Context
		err  error
		want attemptFailure
	}{
		"none":             {context.Background(), nil, ""},
		"caller left":      {left, io.EOF, ""},
		"refused":          {context.Background(), unsent(fmt.Errorf("dial: %w", syscall.ECONNREFUSED)), connectionRefused},
		"connect timeout":  {context.Background(), unsent(context.DeadlineExceeded), connectTimeout},
		"not acknowledged": {context.Background(), &http1.NoAnswerError{Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}, connectionSilent},
		"reset":            {context.Background(), &http1.NoAnswerError{Err: syscall.ECONNRESET}, connectionReset},
		"no answer":        {context.Background(), &http1.NoAnswerError{Err: os.ErrDeadlineExceeded}, noAnswerInTime},
		"truncated":        {context.Background(), &http1.NoAnswerError{Err: io.ErrUnexpectedEOF}, otherFailure},
		"withheld":         {context.Background(), errors.New("any"), otherFailure},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := failureOf(tt.ctx, tt.err); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

// A target was ejected because this instance had no descriptor left for a connection to it.
func TestTargetBlamedForLackOfDescriptors(t *testing.T) {
	dial := func(err error) error {
		return &http1.NotSentError{Err: &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", err)}}
	}
	tests := map[string]struct {
		err  error
		want steer.Ending
	}{
		"no descriptors": {dial(syscall.EMFILE), steer.NotSent},
		"no memory":      {dial(syscall.ENOBUFS), steer.NotSent},
		"no ports":       {dial(syscall.EADDRNOTAVAIL), steer.NotSent},
		"refused":        {dial(syscall.ECONNREFUSED), steer.Failed},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := classify(context.Background(), nil, tt.err).ending; got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}
