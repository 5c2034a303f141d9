package targets

import "io"

// Once wraps a body so that the transport can't rewind it and so never repeats
// an attempt by itself.
func Once(r io.Reader) io.ReadCloser { return onceBody{r} }

type onceBody struct{ io.Reader }

// Close leaves the caller's body open: another attempt may follow.
func (onceBody) Close() error { return nil }
