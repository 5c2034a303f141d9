package caller

import (
	"context"
	"io"
	"net/http"
)

// body is a response body that returns io.EOF only when it has been read completely.
type body struct {
	request        string
	source         io.ReadCloser
	cancel         context.CancelFunc // ends the attempt's context
	got            int64
	want           int64 // -1 if the length was not announced
	closeDelimited bool  // its end can't be distinguished from a lost connection
	err            error // once set, every Read returns it
}

func newBody(k *call, resp *http.Response, cancel context.CancelFunc) *body {
	b := &body{request: k.id, source: resp.Body, cancel: cancel, want: resp.ContentLength}
	chunked := len(resp.TransferEncoding) > 0
	b.closeDelimited = resp.ContentLength < 0 && !chunked && resp.Body != http.NoBody
	if k.req.Method == http.MethodHead {
		b.want, b.closeDelimited = 0, false
	}
	return b
}

// Read reads the body. Its error is io.EOF or an *IncompleteError.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.source.Read(p)
	b.got += int64(n)
	switch {
	case err == nil:
		return n, nil
	case err == io.EOF && !b.closeDelimited && (b.want < 0 || b.got == b.want):
		b.err = io.EOF
	case err == io.EOF:
		b.err = b.incomplete(io.ErrUnexpectedEOF)
	default:
		b.err = b.incomplete(err)
	}
	return n, b.err
}

func (b *body) incomplete(err error) *IncompleteError {
	return &IncompleteError{Request: b.request, Got: b.got, Want: b.want, Err: err}
}

// Close closes the body and cancels the attempt; the unread part is discarded.
func (b *body) Close() error {
	err := b.source.Close()
	b.cancel()
	return err
}
