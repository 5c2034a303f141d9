package http1

import (
	"bytes"
	"io"
	"net/http"
)

const (
	// bodyCopies is how often a body is held that is read whole: as bytes, which may grow, and decoded.
	bodyCopies = 3
	// elementBytes is what an element of a JSON message holds once it is decoded, besides its bytes.
	elementBytes = 320
)

// messageBytes returns how many bytes a part of a JSON message holds that is read whole and decoded.
func messageBytes(b []byte) int64 {
	return int64(bodyCopies*len(b) + elementBytes*bytes.Count(b, []byte{'{'}))
}

// HoldAnswers returns a transport whose answers are read whole. Their bodies take from the reserve of the budget what
// they hold, until they are closed.
func HoldAnswers(t http.RoundTripper, budget *Budget) http.RoundTripper {
	return &holdingTransport{RoundTripper: t, budget: budget}
}

// HoldDecoded is HoldAnswers for messages other than JSON. decoded returns how many bytes an answer holds once it is
// decoded.
func HoldDecoded(t http.RoundTripper, budget *Budget, decoded func(r *http.Request, body []byte) int64) http.RoundTripper {
	return &holdingTransport{RoundTripper: t, budget: budget, decoded: decoded}
}

type holdingTransport struct {
	http.RoundTripper
	budget  *Budget
	decoded func(r *http.Request, body []byte) int64 // nil for JSON
}

// RoundTrip sends a request and returns the answer.
func (t *holdingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	held := &heldBody{ReadCloser: resp.Body, budget: t.budget}
	resp.Body = held
	if t.decoded == nil {
		return resp, nil
	}
	body, err := io.ReadAll(held)
	if err == nil {
		err = held.take(t.decoded(r, body))
	}
	if err != nil {
		held.Close()
		return nil, err
	}
	resp.Body = &wholeBody{Reader: bytes.NewReader(body), Closer: held}
	return resp, nil
}

// wholeBody is a body that was read whole. Closing it gives back what it holds.
type wholeBody struct {
	io.Reader
	io.Closer
}

// CloseIdleConnections closes the idle connections.
func (t *holdingTransport) CloseIdleConnections() {
	if c, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// heldBody is the body of an answer that takes from a budget as it is read, by one goroutine.
type heldBody struct {
	io.ReadCloser
	budget *Budget
	taken  int64
}

// Read reads from the body. It returns a *NoMemoryError if what is read doesn't fit into the budget.
func (b *heldBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if full := b.take(messageBytes(p[:n])); full != nil {
		return 0, full
	}
	return n, err
}

func (b *heldBody) take(size int64) error {
	if !b.budget.takeReserved(size) {
		return &NoMemoryError{Bytes: size}
	}
	b.taken += size
	return nil
}

// Close closes the body and gives back what it holds.
func (b *heldBody) Close() error {
	b.budget.release(b.taken)
	b.taken = 0
	return b.ReadCloser.Close()
}
