package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/firlever/firlever/internal/http1"
	"github.com/firlever/firlever/pkg/settings"
)

// maxResponseBytes limits how much of a response body a client reads.
const maxResponseBytes = 64 << 20

// UnreachableError reports that an instance gave no answer. A change may have been
// applied if Sent is set.
type UnreachableError struct {
	Address string
	Sent    bool // the request may have reached the instance
	Err     error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("operator: no answer from %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// AnswerError reports a response that is not in the expected format.
type AnswerError struct {
	Status int // HTTP status
	Reason string
}

func (e *AnswerError) Error() string {
	return fmt.Sprintf("operator: unexpected response with status %d: %s", e.Status, e.Reason)
}

// Client sends requests to one instance on its operators' address. Its errors are *Problem,
// *UnreachableError and *AnswerError. It is safe for concurrent use.
type Client struct {
	address string
	token   string
	http    *http.Client
}

// NewClient returns a client for the instance at address, IP:port.
func NewClient(address, token string) *Client {
	t := &http.Transport{DisableCompression: true, IdleConnTimeout: time.Minute}
	return &Client{address: address, token: token, http: &http.Client{Transport: http1.NewTransport(t)}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get reads a document from the platform's store or, with inForce, the version in force
// at the instance.
func (c *Client) Get(ctx context.Context, path string, inForce bool) (settings.Document, error) {
	header, body, err := c.do(ctx, http.MethodGet, "/v1/documents"+path, sourceQuery(inForce), nil, nil)
	if err != nil {
		return settings.Document{}, err
	}
	version, err := ParseVersion(header.Values("ETag"))
	if err != nil {
		return settings.Document{}, &AnswerError{Status: http.StatusOK, Reason: "ETag missing or not a version"}
	}
	return settings.Document{Path: path, Version: version, Body: body}, nil
}

// List reads the versions of all documents under a prefix, from the platform's store or,
// with inForce, those in force at the instance.
func (c *Client) List(ctx context.Context, prefix string, inForce bool) ([]Version, error) {
	query := sourceQuery(inForce)
	query.Set("prefix", prefix)
	var list DocumentList
	err := c.get(ctx, "/v1/documents", query, &list)
	return list.Documents, err
}

func sourceQuery(inForce bool) url.Values {
	if inForce {
		return url.Values{"source": {"instance"}}
	}
	return url.Values{}
}

// Put writes doc, or deletes it if doc.Deleted is set, provided that the document still
// has doc.Version. writeID identifies this change; first asserts that it was not sent
// before.
func (c *Client) Put(ctx context.Context, doc settings.Document, writeID string, first bool) (Change, error) {
	method := http.MethodPut
	if doc.Deleted {
		method = http.MethodDelete
	}
	header := http.Header{"If-Match": {FormatVersion(doc.Version)}, HeaderWrite: {writeID}}
	if first {
		header.Set(HeaderTry, TryFirst)
	}
	_, body, err := c.do(ctx, method, "/v1/documents"+doc.Path, nil, header, doc.Body)
	var change Change
	if err == nil {
		err = unmarshal(body, &change)
	}
	return change, err
}

// ResolveWrite returns the outcome of an earlier change to the document at path, over version.
func (c *Client) ResolveWrite(ctx context.Context, writeID, path string, version uint64) (Change, error) {
	query := url.Values{"path": {path}, "version": {strconv.FormatUint(version, 10)}}
	var change Change
	err := c.get(ctx, "/v1/writes/"+url.PathEscape(writeID), query, &change)
	return change, err
}

// Status returns the state of the instance.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	err := c.get(ctx, "/v1/status", nil, &status)
	return status, err
}

// Fleet returns the state of all instances, with the versions of the given
// documents.
func (c *Client) Fleet(ctx context.Context, paths []string) ([]Report, error) {
	var fleet Fleet
	err := c.get(ctx, "/v1/fleet", url.Values{"path": paths}, &fleet)
	return fleet.Reports, err
}

func (c *Client) get(ctx context.Context, route string, query url.Values, v any) error {
	_, body, err := c.do(ctx, http.MethodGet, route, query, nil, nil)
	if err != nil {
		return err
	}
	return unmarshal(body, v)
}

func unmarshal(body []byte, v any) error {
	if err := json.Unmarshal(body, v); err != nil {
		return &AnswerError{Status: http.StatusOK, Reason: err.Error()}
	}
	return nil
}

func (c *Client) do(ctx context.Context, method, route string, query url.Values, header http.Header, body []byte) (http.Header, []byte, error) {
	u := url.URL{Scheme: "http", Host: c.address, Path: route, RawQuery: query.Encode()}
	r, err := http.NewRequestWithContext(ctx, method, u.String(), bytes.NewReader(body))
	if err != nil {
		return nil, nil, &UnreachableError{Address: c.address, Err: err}
	}
	for name, values := range header {
		r.Header[name] = values
	}
	if c.token != "" {
		r.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, nil, &UnreachableError{Address: c.address, Sent: maybeSent(err), Err: err}
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, nil, &UnreachableError{Address: c.address, Sent: true, Err: err}
	}
	return resp.Header, respBody, responseError(resp.StatusCode, respBody)
}

// maybeSent reports whether a request that failed with err may have been sent. A failed
// dial is the only failure that rules it out.
func maybeSent(err error) bool {
	var dial *net.OpError
	return !errors.As(err, &dial) || dial.Op != "dial"
}

// responseError returns the error that a response represents, or nil for a success.
func responseError(status int, body []byte) error {
	if status == http.StatusOK || status == http.StatusAccepted {
		return nil
	}
	p := &Problem{}
	if err := json.Unmarshal(body, p); err != nil || p.Code == "" {
		return &AnswerError{Status: status, Reason: "body is not a problem document of firlever"}
	}
	return p
}
