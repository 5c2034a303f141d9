package target

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/notice"
)

func TestNoticeEndsInSuspension(t *testing.T) {
	const rest = time.Hour
	tg := &Target{}
	tg.SetNotice(notice.Notice{Rest: rest}, time.Now().Add(rest))
	if got, want := tg.notices.say(http.Header{}, boottime.Now()), true; got != want {
		t.Fatalf("got refused %t before the suspension, want %t", got, want)
	}
	boottime.Suspend(rest)
	w := httptest.NewRecorder()
	if got, want := tg.notices.say(w.Header(), boottime.Now()), false; got != want {
		t.Errorf("got refused %t after it, want %t", got, want)
	}
	if got, want := w.Header().Get(headerRest), ""; got != want {
		t.Errorf("got %s %q after it, want %q", headerRest, got, want)
	}
}
