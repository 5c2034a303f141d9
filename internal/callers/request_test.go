package callers

import (
	"bufio"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/firlever/firlever/internal/core"
)

func TestPathReachesTargetAsSent(t *testing.T) {
	got := make(chan string, 1)
	g := newRig(t, "i1", target(t, func(_ http.ResponseWriter, r *http.Request) { got <- r.Method + " " + r.RequestURI }))
	tests := map[string]string{
		"plain":             "/a/b",
		"nothing":           "",
		"slash":             "/",
		"encoded slash":     "/a%2Fb/c",
		"encoded percent":   "/a%252Fb",
		"two slashes":       "//evil.example/x",
		"slashes within":    "/a//b",
		"parent":            "/a/../b",
		"encoded parent":    "/%2e%2E/x",
		"not to be in URLs": `/a|b^c%2Fd`,
		"query":             "/a?x=%2F&y=a+b&&z",
		"empty query":       "/a?",
	}
	for name, path := range tests {
		t.Run(name, func(t *testing.T) {
			c := g.sendRaw("PUT /call/shop/orders" + path + " HTTP/1.1\r\nHost: a.example\r\nFirlever-Key: " + g.key() + "\r\n\r\n")
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("got %v, %v, want an answer", resp, err)
			}
			want := "PUT " + path
			if path == "" {
				want += "/"
			}
			if got := <-got; got != want {
				t.Errorf("got %q, want %q", got, want)
			}
		})
	}
}

// TestAmbiguousPathIsNotIdempotent sends GET requests without a key. A path that can be interpreted
// in two ways needs one.
func TestAmbiguousPathIsNotIdempotent(t *testing.T) {
	g := newRig(t, "i1", target(t, func(http.ResponseWriter, *http.Request) {}))
	tests := map[string]string{
		"/a/b": "answered", "/a%20b": "answered",
		"/a%2fb": "not-run no-key", "/a//b": "not-run no-key", "/a/%2e%2e/b": "not-run no-key",
		"/a/../b": "not-run no-key", "/a%252eb": "not-run no-key", "/a%5cb": "not-run no-key",
	}
	for path, want := range tests {
		t.Run(path, func(t *testing.T) {
			c := g.sendRaw("GET /call/shop/orders" + path + " HTTP/1.1\r\nHost: a\r\n\r\n")
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			if got := outcome(resp); got != want {
				t.Errorf("got %q, want %q", got, want)
			}
		})
	}
}

func TestHeadersToTarget(t *testing.T) {
	var got http.Header
	g := newRig(t, "i1", target(t, func(_ http.ResponseWriter, r *http.Request) {
		got = r.Header.Clone()
		got.Set("Host", r.Host)
	}))
	tests := map[string]struct {
		sent string
		want map[string]string // "" means that the header must be missing
	}{
		"end to end": {"X-A: 1\r\nX-A: 2\r\nAuthorization: b\r\n", map[string]string{"X-A": "1,2", "Authorization": "b"}},
		"host":       {"", map[string]string{"Host": "shop.example"}},
		"no agent":   {"", map[string]string{"User-Agent": ""}},
		"hop by hop": {
			"Te: trailers\r\nTrailer: X\r\nKeep-Alive: 1\r\nProxy-Authorization: p\r\nUpgrade: websocket\r\n",
			map[string]string{"Te": "", "Trailer": "", "Keep-Alive": "", "Proxy-Authorization": "", "Upgrade": "", "Connection": ""},
		},
		"named by Connection": {
			"Connection: X-One, x-two\r\nConnection: X-Three\r\nX-One: 1\r\nX-Two: 2\r\nX-Three: 3\r\nX-Four: 4\r\n",
			map[string]string{"X-One": "", "X-Two": "", "X-Three": "", "X-Four": "4"},
		},
		"ours": {
			"Firlever-Home: west\r\nFirlever-From: i9\r\nFirlever-Outcome: answered\r\nFirlever-Else: 1\r\nFirlever-Request: r1\r\n",
			map[string]string{HeaderHome: "east", HeaderFrom: "", HeaderOutcome: "", "Firlever-Else": "", HeaderRequest: "r1"},
		},
		"ours named by Connection": {
			"Connection: Firlever-Request, Firlever-Home\r\nFirlever-Request: r1\r\n",
			map[string]string{HeaderHome: "east", HeaderRequest: "r1"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := g.sendRaw("GET /call/shop/orders/ HTTP/1.1\r\nHost: shop.example\r\n" + tt.sent + "\r\n")
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil || outcome(resp) != OutcomeAnswered {
				t.Fatalf("got %v, %v, want an answer", resp, err)
			}
			for _, name := range slices.Sorted(maps.Keys(tt.want)) {
				if got, want := strings.Join(got.Values(name), ","), tt.want[name]; got != want {
					t.Errorf("got %s %q, want %q", name, got, want)
				}
			}
		})
	}
}

// TestExpectIsAnsweredHere sends a body only after 100 Continue. The instance must send it, and
// must not pass the Expect header on to the target.
func TestExpectIsAnsweredHere(t *testing.T) {
	var got string
	g := newRig(t, "i1", target(t, func(_ http.ResponseWriter, r *http.Request) { got = r.Header.Get("Expect") }))
	c := g.sendRaw("PUT /call/shop/orders/ HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n" +
		"Firlever-Key: " + g.key() + "\r\n\r\n")
	r := bufio.NewReader(c)
	line, err := r.ReadString('\n')
	if want := "HTTP/1.1 100 Continue\r\n"; err != nil || line != want {
		t.Fatalf("got %q, %v, want %q", line, err, want)
	}
	r.ReadString('\n')
	c.Write([]byte("work"))
	resp, err := http.ReadResponse(r, nil)
	if err != nil || outcome(resp) != OutcomeAnswered || got != "" {
		t.Errorf("got %v, %v with Expect %q at the target, want an answer without", resp, err, got)
	}
}

func TestBadRequestsAreTyped(t *testing.T) {
	g := newRig(t, "i1", target(t, func(http.ResponseWriter, *http.Request) { t.Error("got work at the target, want none") }))
	long := strings.Repeat("k", 600)
	tests := map[string]struct {
		request string
		status  int
		reason  core.Reason
	}{
		"no service":      {"GET /call/shop HTTP/1.1\r\n", 400, core.ReasonBadRequest},
		"bad service":     {"GET /call/SHOP/orders/ HTTP/1.1\r\n", 400, core.ReasonBadRequest},
		"other service":   {"GET /call/shop/else/ HTTP/1.1\r\n", 404, core.ReasonNoService},
		"other path":      {"GET /else HTTP/1.1\r\n", 404, core.ReasonBadRequest},
		"peers' path":     {"GET /hand/shop/orders/ HTTP/1.1\r\n", 404, core.ReasonBadRequest},
		"look-up by post": {"POST /lookup/shop/orders HTTP/1.1\r\nContent-Length: 0\r\n", 404, core.ReasonBadRequest},
		"keys":            {"GET /lookup/shop/orders?keys=x HTTP/1.1\r\n", 400, core.ReasonBadRequest},
		"no such look-up": {"GET /lookup/shop/else HTTP/1.1\r\n", 404, core.ReasonNoService},
		"timeout":         {"GET /call/shop/orders/ HTTP/1.1\r\nFirlever-Timeout: soon\r\n", 400, core.ReasonBadRequest},
		"past timeout":    {"GET /call/shop/orders/ HTTP/1.1\r\nFirlever-Timeout: 0\r\n", 503, core.ReasonDeadline},
		"long key":        {"POST /call/shop/orders/ HTTP/1.1\r\nFirlever-Key: " + long + "\r\n", 400, core.ReasonBadRequest},
		"two keys":        {"POST /call/shop/orders/ HTTP/1.1\r\nFirlever-Key: a\r\nFirlever-Key: b\r\n", 400, core.ReasonBadRequest},
		"no key":          {"POST /call/shop/orders/ HTTP/1.1\r\n", 400, core.ReasonNoKey},
		"forged key":      {"POST /call/shop/orders/ HTTP/1.1\r\nFirlever-Key: a\r\n", 400, core.ReasonBadKey},
		"long name":       {"GET /call/shop/orders/ HTTP/1.1\r\nFirlever-Request: " + long + "\r\n", 400, core.ReasonBadRequest},
		"odd name":        {"GET /call/shop/orders/ HTTP/1.1\r\nFirlever-Request: a\tb\r\n", 400, core.ReasonBadRequest},
		"name not ASCII":  {"GET /call/shop/orders/ HTTP/1.1\r\nFirlever-Request: \xff\r\n", 400, core.ReasonBadRequest},
		"trace":           {"TRACE /call/shop/orders/ HTTP/1.1\r\n", 400, core.ReasonBadRequest},
		"large headers":   {"GET /call/shop/orders/ HTTP/1.1\r\n" + strings.Repeat("X-A: "+long+"\r\n", 60), 431, core.ReasonBadRequest},
		"large path":      {"GET /call/shop/orders/" + strings.Repeat(long, 60) + " HTTP/1.1\r\n", 431, core.ReasonBadRequest},
		"large look-up":   {"GET /lookup/shop/orders?a=" + strings.Repeat(long, 60) + " HTTP/1.1\r\n", 431, core.ReasonBadRequest},
		"odd path":        {"GET /call/shop/orders//a|b%2Fc HTTP/1.1\r\n", 400, core.ReasonBadRequest},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := g.sendRaw(tt.request + "Host: a\r\nConnection: close\r\n\r\n")
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			var got refusal
			err = json.NewDecoder(resp.Body).Decode(&got)
			if err != nil || got.Outcome != OutcomeNotRun || resp.StatusCode != tt.status {
				t.Errorf("got status %d, body %+v, %v, want %d and not-run", resp.StatusCode, got, err, tt.status)
			}
			if got, want := outcome(resp), OutcomeNotRun+" "+string(tt.reason); got != want {
				t.Errorf("got %q, want %q", got, want)
			}
		})
	}
	g.idle()
}
