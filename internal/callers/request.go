package callers

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/crash"
	"github.com/firlever/firlever/internal/once"
)

// Limits for callers' requests.
const (
	maxReplay    = 64 << 10         // a longer body is streamed and can't be sent again
	maxKey       = 512              // bytes of an idempotency key
	maxHeader    = 32 << 10         // bytes of the request line and the headers
	maxRequestID = 128              // bytes of a request id
	maxTimeout   = 10 * time.Minute // a longer timeout is reduced to this
	bodyTimeout  = 10 * time.Second // for the first maxReplay bytes of a body
	replyTimeout = 5 * time.Second  // for a caller to receive an answer that is ready
)

// BadRequestError describes what is wrong with a request, which has not run.
type BadRequestError struct{ Fault string }

func (e *BadRequestError) Error() string { return "callers: bad request: " + e.Fault }

// parse reads everything that the node needs of a request, except its body. It returns a
// *BadRequestError.
func parse(r *http.Request, to route, now time.Time) (core.Request, error) {
	req := core.Request{
		Service:    to.service,
		Method:     r.Method,
		Path:       to.path,
		Key:        r.Header.Get(HeaderKey),
		Name:       r.Header.Get(HeaderRequest),
		Caller:     remoteAddr(r.RemoteAddr),
		Replayable: true,
	}
	if err := checkHeaders(r, req); err != nil {
		return req, err
	}
	if req.Name == "" {
		req.Name = newRequestID()
	}
	var err error
	if req.Deadline, err = deadline(r, HeaderTimeout, now); err != nil {
		return req, err
	}
	req.StartDeadline, err = deadline(r, HeaderStart, now)
	return req, err
}

// headerSize returns the size of a request line and headers, in bytes.
func headerSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// checkHeaders rejects headers that are ambiguous or can't be parsed.
func checkHeaders(r *http.Request, req core.Request) error {
	for _, name := range []string{HeaderKey, HeaderRequest, HeaderTimeout, HeaderStart} {
		if len(r.Header.Values(name)) > 1 {
			return &BadRequestError{Fault: name + " is given more than once"}
		}
	}
	switch {
	case methodRefused(r.Method):
		return &BadRequestError{Fault: "method " + r.Method + " is not supported"}
	case len(req.Key) > maxKey || !printable(req.Key):
		return &BadRequestError{Fault: HeaderKey + " is too long or not printable"}
	case len(req.Name) > maxRequestID || !printable(req.Name):
		return &BadRequestError{Fault: HeaderRequest + " is too long or not printable"}
	}
	return nil
}

// printable reports whether s consists of printable ASCII without spaces.
func printable(s string) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// fingerprint returns the fingerprint for the key's record. It is the same whichever way the
// request arrived.
func fingerprint(r *http.Request, to route, b *body) once.Fingerprint {
	return once.NewFingerprint(r.Method, to.service.String()+to.rawPath+"?"+r.URL.RawQuery, b.buffered)
}

// crashFingerprint returns the fingerprint by which a request is recognised when its caller sends
// it again.
func crashFingerprint(r *http.Request, to route, b *body) crash.Fingerprint {
	return crash.Request{
		Method: r.Method, Host: to.service.String(), URI: to.rawPath + "?" + r.URL.RawQuery,
		Caller: r.Header.Get("Authorization"), Object: r.Header.Get("Cookie"), Body: b.buffered,
	}.Fingerprint()
}

// deadline converts the time left in a header into a deadline; zero if the header is missing.
func deadline(r *http.Request, name string, now time.Time) (time.Time, error) {
	ms := r.Header.Get(name)
	if ms == "" {
		return time.Time{}, nil
	}
	n, err := strconv.ParseInt(ms, 10, 64)
	if err != nil || n < 0 {
		return time.Time{}, &BadRequestError{Fault: fmt.Sprintf("%s %q is not a whole number of milliseconds", name, ms)}
	}
	left := time.Duration(min(n, maxTimeout.Milliseconds())) * time.Millisecond
	return now.Add(left), nil
}

func remoteAddr(addr string) netip.Addr {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return netip.Addr{}
	}
	return ap.Addr().Unmap()
}

func newRequestID() string {
	var b [12]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
