package target

import (
	"io"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/notice"
)

func TestNoticeEndsInSuspension(t *testing.T) {
	const rest = time.Hour
	b := newBench(t, Config{})
	b.SetNotice(notice.Notice{Rest: rest}, time.Now().Add(rest))
	said := func() string {
		resp, err := b.client.Get("http://t/load")
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		return resp.Header.Get(headerRest)
	}
	if got := said(); got == "" {
		t.Fatalf("got no %s before the suspension", headerRest)
	}
	boottime.Suspend(rest)
	if got, want := said(), ""; got != want {
		t.Errorf("got %s %q after it, want %q", headerRest, got, want)
	}
}
