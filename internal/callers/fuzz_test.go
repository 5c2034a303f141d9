package callers

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/firlever/firlever/pkg/settings"
)

// FuzzParse parses arbitrary request lines and headers. An accepted request must have a valid
// service, a path and a name that can be passed on, and no deadline in the past.
func FuzzParse(f *testing.F) {
	f.Add("GET /call/shop/orders/a?b=c HTTP/1.1\r\nFirlever-Timeout: 10\r\nFirlever-Start: 5\r\n")
	f.Add("POST /call/shop/orders//a%2Fb HTTP/1.1\r\nFirlever-Key: k\r\nFirlever-Request: r\r\n")
	f.Add("GET /call/../shop HTTP/1.1\r\nFirlever-Timeout: -1\r\n")
	now := time.Unix(1_000_000, 0)
	f.Fuzz(func(t *testing.T, head string) {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head + "Host: a\r\n\r\n")))
		if err != nil {
			return
		}
		to, err := newRoute(r.URL, PrefixCall)
		if err != nil {
			return
		}
		req, err := parse(r, to, now)
		if err != nil {
			return
		}
		if _, err := settings.ParseServiceID(req.Service.String()); err != nil {
			t.Errorf("got service %q: %v", req.Service, err)
		}
		if !strings.HasPrefix(req.Path, "/") || req.Name == "" || !printable(req.Name) {
			t.Errorf("got path %q and name %q", req.Path, req.Name)
		}
		if !req.Deadline.IsZero() && req.Deadline.Before(now) || !req.StartDeadline.IsZero() && req.StartDeadline.Before(now) {
			t.Errorf("got deadline %s and start %s before now", req.Deadline, req.StartDeadline)
		}
	})
}
