package callers

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/once"
	"github.com/firlever/firlever/pkg/settings"
)

// Limits of what a caller may send.
const (
	maxReplay  = 64 << 10         // a longer body is streamed and can't be sent again
	maxKey     = 512              // bytes of an idempotency key
	maxName    = 128              // bytes of a request id
	maxTimeout = 10 * time.Minute // a longer timeout is cut to this
)

// BadRequestError says what is wrong with a request. It has not run.
type BadRequestError struct{ Fault string }

func (e *BadRequestError) Error() string { return "callers: bad request: " + e.Fault }

// body is a request's body, kept whole if it is short.
type body struct {
	start []byte    // read already
	rest  io.Reader // nil if start is all of it
	used  bool      // rest has been given out
	size  int64     // declared length, -1 if it was not declared
}

// readBody reads the start of a body.
func readBody(r *http.Request) (*body, error) {
	b := &body{size: r.ContentLength}
	if r.Body == nil || r.Body == http.NoBody {
		return b, nil
	}
	start, err := io.ReadAll(io.LimitReader(r.Body, maxReplay+1))
	if err != nil {
		return nil, &BadRequestError{Fault: "body: " + err.Error()}
	}
	b.start = start
	if len(start) > maxReplay {
		b.rest = r.Body
		return b, nil
	}
	b.size = int64(len(start))
	return b, nil
}

func (b *body) replayable() bool { return b.rest == nil || !b.used }

// reader gives the body for one attempt.
func (b *body) reader() io.Reader {
	if b.rest == nil {
		return bytes.NewReader(b.start)
	}
	b.used = true
	return io.MultiReader(bytes.NewReader(b.start), b.rest)
}

// parse reads what the node must know of a request.
func parse(r *http.Request, prefix string, now time.Time, b *body) (core.Request, error) {
	service, path, err := splitPath(r.URL.Path, prefix)
	if err != nil {
		return core.Request{}, err
	}
	req := core.Request{
		Service:    service,
		Method:     r.Method,
		Path:       path,
		Key:        r.Header.Get(HeaderKey),
		Name:       r.Header.Get(HeaderRequest),
		Replayable: b.rest == nil,
	}
	if len(req.Key) > maxKey || len(req.Name) > maxName {
		return req, &BadRequestError{Fault: "key or request id is too long"}
	}
	if req.Name == "" {
		req.Name = newName()
	}
	req.Deadline, err = deadline(r.Header.Get(HeaderTimeout), now)
	if err != nil {
		return req, err
	}
	req.Caller = remote(r.RemoteAddr)
	req.Print = once.NewFingerprint(r.Method, r.URL.RequestURI(), b.start)
	return req, nil
}

// splitPath takes /prefix/team/service/rest apart.
func splitPath(p, prefix string) (settings.ServiceID, string, error) {
	team, rest, ok1 := strings.Cut(strings.TrimPrefix(p, prefix), "/")
	name, rest, _ := strings.Cut(rest, "/")
	if !ok1 || name == "" {
		return settings.ServiceID{}, "", &BadRequestError{Fault: "path names no service"}
	}
	id, err := settings.ParseServiceID(team + "/" + name)
	if err != nil {
		return settings.ServiceID{}, "", &BadRequestError{Fault: err.Error()}
	}
	return id, "/" + rest, nil
}

// deadline turns the time left into a deadline; the zero time if none was given.
func deadline(ms string, now time.Time) (time.Time, error) {
	if ms == "" {
		return time.Time{}, nil
	}
	n, err := strconv.ParseInt(ms, 10, 64)
	if err != nil || n < 0 {
		return time.Time{}, &BadRequestError{Fault: fmt.Sprintf("%s %q is not whole milliseconds", HeaderTimeout, ms)}
	}
	left := time.Duration(min(n, maxTimeout.Milliseconds())) * time.Millisecond
	return now.Add(left), nil
}

func remote(addr string) netip.Addr {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return netip.Addr{}
	}
	return ap.Addr().Unmap()
}

func newName() string {
	var b [12]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
