package target

import (
	"io"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/notice"
)

func TestNoticeEndsInSuspension(t *testing.T) {
	const backOff = time.Hour
	b := newTestTarget(t, Config{})
	b.SetNotice(notice.Notice{BackOff: backOff}, time.Now().Add(backOff))
	retryAfter := func() string {
		resp, err := b.client.Get("http://t/load")
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		return resp.Header.Get(headerRetryAfter)
	}
	if got := retryAfter(); got == "" {
		t.Fatalf("got no %s before the suspension", headerRetryAfter)
	}
	boottime.Suspend(backOff)
	if got, want := retryAfter(), ""; got != want {
		t.Errorf("got %s %q after it, want %q", headerRetryAfter, got, want)
	}
}
