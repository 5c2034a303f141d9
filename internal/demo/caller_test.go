package demo

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/iotest"

	"github.com/firlever/firlever/internal/emulator/target"
	"github.com/firlever/firlever/internal/load"
	"github.com/firlever/firlever/pkg/caller"
)

// A truncated answer counts as lost, unless the caller's own deadline ended it.
func TestReadIncompleteAnswer(t *testing.T) {
	tests := map[string]struct {
		err    error
		reason string
	}{
		"connection lost": {io.ErrUnexpectedEOF, reasonIncomplete},
		"reset":           {errors.New("connection reset by peer"), reasonIncomplete},
		"deadline":        {context.DeadlineExceeded, caller.ReasonTimeout},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			body := io.MultiReader(io.LimitReader(target.Answer("r", 1000), 500), iotest.ErrReader(&caller.IncompleteError{Err: tt.err}))
			got := readAnswer(load.Request{ID: "r"}, http.StatusOK, body)
			if got.Outcome != load.Unknown || got.Reason != tt.reason {
				t.Errorf("got %+v, want an unknown outcome for %s", got, tt.reason)
			}
		})
	}
}
