// Package peerhttp makes calls to other instances over HTTP: short questions with short
// answers.
package peerhttp

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/juju/errors"

	"github.com/firlever/firlever/internal/tcp"
)

// Client calls instances. It is safe for concurrent use.
type Client struct {
	http *http.Client
	maxAnswer int64 // of an answer, in bytes
}

// New makes a client that reads answers of up to most bytes and keeps idle connections to
// each instance. Its calls come from ip; "" lets the system choose.
func New(ip string, idle int, most int64) *Client {
	transport := &http.Transport{DialContext: tcp.NewDialer(ip).DialContext, MaxIdleConnsPerHost: idle}
	return &Client{http: &http.Client{Transport: transport}, maxAnswer: most}
}

// Error says that an instance gave no good answer.
type Error struct {
	Address string
	Status  int // of its answer; 0 if there was none
	Err     error
}

func (e *Error) Error() string {
	return fmt.Sprintf("peer %s: status %d: %v", e.Address, e.Status, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Post sends a body and returns the body of the answer 200. It returns an *Error.
func (c *Client) Post(ctx context.Context, address, path string, query url.Values, body []byte) ([]byte, error) {
	u := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, u.String(), bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(&Error{Address: address, Err: err})
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, errors.Trace(&Error{Address: address, Err: err})
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, c.maxAnswer))
	if err != nil || resp.StatusCode != http.StatusOK {
		return nil, errors.Trace(&Error{Address: address, Status: resp.StatusCode, Err: err})
	}
	return b, nil
}
