package notice

import (
	"net/http"
	"reflect"
	"testing"
	"time"
)

var names = HeaderNames{Leaving: "Server-Leaving", Limit: "Server-Limit", BackOff: "Retry-After"}

// A notice only takes effect if the whole header can be parsed.
func TestRead(t *testing.T) {
	tests := map[string]struct {
		status int
		header http.Header
		want   Notice
		unread []string
	}{
		"nothing":                  {200, http.Header{}, Notice{}, nil},
		"leaving":                  {200, http.Header{"Server-Leaving": {"1"}}, Notice{Leaving: true}, nil},
		"leaving, refused":         {503, http.Header{"Server-Leaving": {"1"}}, Notice{Leaving: true}, nil},
		"limit":                    {500, http.Header{"Server-Limit": {"9.25"}}, Notice{Limit: 9.25, HasLimit: true}, nil},
		"no requests":              {200, http.Header{"Server-Limit": {"0"}}, Notice{HasLimit: true}, nil},
		"back-off":                 {503, http.Header{"Retry-After": {"2.5"}}, Notice{BackOff: 2500 * time.Millisecond}, nil},
		"very long back-off":       {503, http.Header{"Retry-After": {"1e300"}}, Notice{BackOff: maxBackOff}, nil},
		"back-off with status 200": {200, http.Header{"Retry-After": {"3"}}, Notice{}, nil},
		"unreadable": {
			503,
			http.Header{"Server-Leaving": {"yes"}, "Server-Limit": {"-1"}, "Retry-After": {"soon"}},
			Notice{},
			[]string{"Server-Leaving: yes", "Server-Limit: -1", "Retry-After: soon"},
		},
		"no number":   {200, http.Header{"Server-Limit": {"NaN"}}, Notice{}, []string{"Server-Limit: NaN"}},
		"infinite":    {200, http.Header{"Server-Limit": {"+Inf"}}, Notice{}, []string{"Server-Limit: +Inf"}},
		"two limits":  {200, http.Header{"Server-Limit": {"9", "10"}}, Notice{}, []string{"Server-Limit: 9, 10"}},
		"empty limit": {200, http.Header{"Server-Limit": {""}}, Notice{}, []string{"Server-Limit: "}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got, unread := names.Read(tt.status, tt.header)
			if got != tt.want || !reflect.DeepEqual(unread, tt.unread) {
				t.Errorf("got %+v and %q, want %+v and %q", got, unread, tt.want, tt.unread)
			}
		})
	}
}

func FuzzRead(f *testing.F) {
	f.Add(503, "1", "9.5", "3")
	f.Add(200, "x", "1e400", "-0")
	f.Fuzz(func(t *testing.T, status int, leaving, limit, retryAfter string) {
		h := http.Header{"Server-Leaving": {leaving}, "Server-Limit": {limit}, "Retry-After": {retryAfter}}
		got, _ := names.Read(status, h)
		if !(got.Limit >= 0) || got.BackOff < 0 || got.BackOff > maxBackOff {
			t.Errorf("got %+v", got)
		}
	})
}
