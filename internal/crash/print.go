package crash

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// Fingerprint is the fingerprint of a request. It stays the same when a caller sends the request again
// with another ID or to another instance.
type Fingerprint uint64

// Request holds the parts of a request that a target receives and that don't differ between
// repeats.
type Request struct {
	Method string
	Host   string
	URI    string
	Caller string // identifies the sender; "" if unknown
	Object string
	Body   []byte
}

// Fingerprint returns the fingerprint of the request.
func (r Request) Fingerprint() Fingerprint {
	d := xxhash.New()
	for _, field := range []string{r.Method, r.Host, r.URI, r.Caller, r.Object} {
		d.WriteString(strconv.Itoa(len(field))) // the length keeps different requests from having the same concatenation
		d.WriteString(":")
		d.WriteString(field)
	}
	d.Write(r.Body)
	return Fingerprint(d.Sum64())
}

// String returns the fingerprint in hexadecimal, as in log lines.
func (p Fingerprint) String() string { return strconv.FormatUint(uint64(p), 16) }

// MarshalText returns the fingerprint in the format of String.
func (p Fingerprint) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText parses the format of MarshalText.
func (p *Fingerprint) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), 16, 64)
	*p = Fingerprint(n)
	return errors.Annotate(err, "request fingerprint")
}
