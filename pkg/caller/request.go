package caller

import (
	"bytes"
	"context"
	"crypto/rand"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Headers between callers and instances.
const (
	headerKey     = "Firlever-Key"
	headerTimeout = "Firlever-Timeout" // milliseconds
	headerStart   = "Firlever-Start"   // milliseconds
	headerRequest = "Firlever-Request"
	headerOutcome = "Firlever-Outcome"
	headerReason  = "Firlever-Reason"
	headerRetry   = "Firlever-Retry" // milliseconds
)

// Request is a request to a service. Do doesn't modify it, so it may be sent again.
type Request struct {
	Method     string      // empty means GET
	Path       string      // below the service, begins with /; may contain a query; empty means /
	Header     http.Header // may be nil
	Idempotent bool        // may run twice, whatever the method
	Once       bool        // must not run twice, whatever the method; overrides Idempotent
	Key        Key         // of an earlier call with an unknown outcome; otherwise empty

	// Body returns a new reader of the body for each attempt; nil means no body.
	// The client closes the reader.
	Body   func() (io.ReadCloser, error)
	Length int64 // of the body in bytes; -1 if not known
}

// SetBytes sets the body to b.
func (r *Request) SetBytes(b []byte) {
	r.Length = int64(len(b))
	r.Body = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(b)), nil }
}

func (r *Request) idempotent() bool {
	if r.Once {
		return false
	}
	switch r.Method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return r.Idempotent
}

// call is the state of one call of Do.
type call struct {
	client     *Client
	ctx        context.Context
	req        *Request
	service    string
	id         string
	key        Key
	idempotent bool
	mayHaveRun bool  // an earlier attempt may have run
	last       error // of the last attempt; a *NotRunError or an *UnknownError
}

func (c *Client) newCall(ctx context.Context, service string, req *Request) *call {
	id := req.Header.Get(headerRequest)
	if id == "" {
		id = rand.Text()
	}
	return &call{client: c, ctx: ctx, req: req, service: service, id: id, key: req.Key, idempotent: req.idempotent()}
}

func (k *call) notRun(reason string, err error) *NotRunError {
	return &NotRunError{Service: k.service, Request: k.id, Reason: reason, Err: err}
}

func (k *call) unknown(reason string, err error) *UnknownError {
	return &UnknownError{Service: k.service, Request: k.id, Key: k.key, Reason: reason, Err: err}
}

// requestURL returns the URL of the request at an instance, or nil if the path
// can't be sent.
func (k *call) requestURL(address string) *url.URL {
	path := orDefault(k.req.Path, "/")
	if !strings.HasPrefix(path, "/") {
		return nil
	}
	u, err := url.ParseRequestURI("http://" + address + "/call/" + k.service + path)
	if err != nil {
		return nil
	}
	return u
}

// httpRequest returns the HTTP request of one attempt. Its response has to begin
// by startBy, unless that is zero.
func (k *call) httpRequest(ctx context.Context, address string, startBy time.Time) (*http.Request, *NotRunError) {
	u := k.requestURL(address)
	if u == nil {
		return nil, k.notRun(ReasonRequest, &PathError{Path: k.req.Path})
	}
	req, err := http.NewRequestWithContext(ctx, orDefault(k.req.Method, http.MethodGet), u.String(), nil)
	if err != nil {
		return nil, k.notRun(ReasonRequest, err)
	}
	if k.req.Header != nil {
		req.Header = k.req.Header.Clone()
	}
	req.Header.Set(headerRequest, k.id)
	req.Header.Del(headerKey)
	if k.key.Value != "" {
		req.Header.Set(headerKey, k.key.Value)
	}
	if deadline, ok := k.ctx.Deadline(); ok {
		left := time.Until(deadline).Milliseconds()
		if left <= 0 {
			return nil, k.notRun(ReasonTimeout, context.DeadlineExceeded)
		}
		req.Header.Set(headerTimeout, strconv.FormatInt(left, 10))
	}
	if !startBy.IsZero() {
		req.Header.Set(headerStart, strconv.FormatInt(max(time.Until(startBy).Milliseconds(), 0), 10))
	}
	return req, k.setBody(req)
}

func (k *call) setBody(req *http.Request) *NotRunError {
	if k.req.Body == nil || k.req.Length == 0 {
		if retriedByTransport(req.Method) {
			req.Body = emptyBody{}
		}
		return nil
	}
	body, err := k.req.Body()
	if err != nil {
		return k.notRun(ReasonRequest, err)
	}
	req.Body = body
	req.ContentLength = k.req.Length
	if !retriedByTransport(req.Method) {
		req.GetBody = k.req.Body
	}
	return nil
}

// retriedByTransport reports whether http.Transport would retry a request with this
// method on its own after a connection failed, which bypasses the retry budget. It
// doesn't if the request has a body without GetBody. A request of which no byte was
// written is retried in any case, if possible, which is harmless.
func retriedByTransport(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}

// emptyBody is a body of no bytes. The transport sends no body for it, but doesn't
// retry the request, as it can't read the body again.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }
