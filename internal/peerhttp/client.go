// Package peerhttp makes short HTTP calls to other instances.
package peerhttp

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/juju/errors"

	"github.com/firlever/firlever/internal/http1"
	"github.com/firlever/firlever/internal/tcp"
)

// Client calls other instances. It is safe for concurrent use.
type Client struct {
	http      *http.Client
	maxAnswer int64 // in bytes
}

// New returns a client that reads answers of up to maxAnswer bytes and keeps up to idle idle
// connections to each instance. It connects from the address ip; "" lets the system choose.
func New(ip string, idle int, maxAnswer int64) *Client {
	transport := http1.NewTransport(&http.Transport{DialContext: tcp.NewDialer(ip).DialContext, MaxIdleConnsPerHost: idle})
	return &Client{http: &http.Client{Transport: transport}, maxAnswer: maxAnswer}
}

// Error means that a call to an instance failed or was answered with another status than expected.
type Error struct {
	Address string
	Status  int // of the answer; 0 if there was none
	Err     error
}

func (e *Error) Error() string {
	return fmt.Sprintf("peer %s: status %d: %v", e.Address, e.Status, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Post sends a body and returns the body of a 200 answer. It returns an *Error.
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
