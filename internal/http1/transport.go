package http1

import "net/http"

// Transport is an http.Transport that refuses answers with malformed or long heads.
type Transport struct{ transport *http.Transport }

// NewTransport returns a transport like t, which must not be used otherwise.
func NewTransport(t *http.Transport) *Transport {
	if t.MaxResponseHeaderBytes == 0 {
		t.MaxResponseHeaderBytes = maxAnswerHead
	}
	return &Transport{transport: t}
}

// RoundTrip sends a request and returns the answer. Its error is a *MalformedError if its head is malformed.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := CheckResponse(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections.
func (t *Transport) CloseIdleConnections() { t.transport.CloseIdleConnections() }
