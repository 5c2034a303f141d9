package callers

import (
	"net/http"
	"reflect"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/notice"
	"github.com/firlever/firlever/internal/owner"
)

// TestNoticed checks that only a successful answer with readable headers counts as a complete
// notice.
func TestNoticed(t *testing.T) {
	tests := map[string]struct {
		status int
		header http.Header
		want   core.NoticeReceived
	}{
		"success":     {200, http.Header{}, core.NoticeReceived{Complete: true}},
		"leaving":     {200, http.Header{HeaderLeaving: {"1"}}, core.NoticeReceived{Complete: true, Notice: notice.Notice{Leaving: true}}},
		"limit":       {200, http.Header{HeaderLimit: {"9.5"}}, core.NoticeReceived{Complete: true, Notice: notice.Notice{HasLimit: true, Limit: 9.5}}},
		"rest":        {503, http.Header{headerRetryAfter: {"2"}}, core.NoticeReceived{Notice: notice.Notice{BackOff: 2 * time.Second}}},
		"failure":     {500, http.Header{}, core.NoticeReceived{}},
		"not to read": {200, http.Header{HeaderLimit: {"many"}}, core.NoticeReceived{Unreadable: []string{"Firlever-Limit: many"}}},
	}
	target, asked := owner.TargetKey{Name: "t"}, time.Unix(1, 0)
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tt.want.Target, tt.want.Sent = target, asked
			got := ReadNotice(target, asked, &http.Response{StatusCode: tt.status, Header: tt.header})
			if !reflect.DeepEqual(got, tt.want) {
				t.Errorf("got %+v, want %+v", got, tt.want)
			}
		})
	}
}
