package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
)

// maxAnswer is the largest answer read, in bytes.
const maxAnswer = 256 << 20

// request is one call before it is sent.
type request struct {
	call    string // name in errors
	method  string
	route   string
	path    string // what the call is about, in errors
	version uint64 // expected by a write
	query   url.Values
	body    []byte
}

func (r request) writes() bool { return r.method != http.MethodGet }

// fail types a failure that hid the answer. sent says that some of the request
// may have reached the platform.
func (r request) fail(sent bool, err error) error {
	if sent && r.writes() {
		return &UncertainError{Path: r.path, Err: err}
	}
	return &UnavailableError{Call: r.call, Err: err}
}

// do sends the request and decodes a complete 200 answer into a.
func (c *Client) do(ctx context.Context, r request, a any) error {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	to := c.base + r.route + "?" + r.query.Encode()
	req, err := http.NewRequestWithContext(ctx, r.method, to, bytes.NewReader(r.body))
	if err != nil {
		return &InvalidError{Call: r.call, Reason: err.Error()}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return r.fail(sent.Load(), err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return r.fail(true, err)
	}
	if resp.StatusCode != http.StatusOK {
		return r.refusal(resp.StatusCode, body)
	}
	if err := json.Unmarshal(body, a); err != nil {
		return r.fail(true, &AnswerError{Status: resp.StatusCode, Reason: err.Error()})
	}
	return nil
}

// refusal types an answer that says that nothing was changed. An answer that
// doesn't say so in the protocol's words proves nothing.
func (r request) refusal(status int, body []byte) error {
	var ref Refusal
	if err := json.Unmarshal(body, &ref); err != nil {
		return r.fail(true, &AnswerError{Status: status, Reason: err.Error()})
	}
	switch ref.Code {
	case CodeNotFound:
		return &NotFoundError{Path: r.path}
	case CodeConflict:
		if ref.Entry != nil {
			return &ConflictError{Path: r.path, Want: r.version, Now: *ref.Entry}
		}
	case CodeHeld:
		return &HeldError{Path: r.path, Holder: ref.Holder}
	case CodeBusy:
		return &BusyError{Call: r.call}
	case CodeTooLarge:
		return &TooLargeError{Path: r.path, Size: ref.Size}
	case CodeInvalid:
		return &InvalidError{Call: r.call, Reason: ref.Reason}
	case CodeUnavailable:
		return &UnavailableError{Call: r.call, Err: &AnswerError{Status: status, Reason: ref.Reason}}
	}
	return r.fail(true, &AnswerError{Status: status, Reason: "unknown refusal"})
}

func encode(call string, v any) ([]byte, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, &InvalidError{Call: call, Reason: err.Error()}
	}
	return b, nil
}
