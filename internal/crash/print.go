package crash

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// Print is the fingerprint of a request: callers that send the same request again, with
// another ID and at any instance, send the same print.
type Print uint64

// Request is what a target sees of a request, but for what differs each time it is sent.
type Request struct {
	Method string
	Host   string
	URI    string
	Caller string // who sends it, as far as it says so
	Object string
	Body   []byte
}

// Print returns the fingerprint.
func (r Request) Print() Print {
	d := xxhash.New()
	for _, field := range []string{r.Method, r.Host, r.URI, r.Caller, r.Object} {
		d.WriteString(strconv.Itoa(len(field))) // so that no two requests run together
		d.WriteString(":")
		d.WriteString(field)
	}
	d.Write(r.Body)
	return Print(d.Sum64())
}

// String is the print in hexadecimal, as in log lines.
func (p Print) String() string { return strconv.FormatUint(uint64(p), 16) }

// MarshalText writes the print as String does.
func (p Print) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText reads what MarshalText has written.
func (p *Print) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), 16, 64)
	*p = Print(n)
	return errors.Annotate(err, "print of a request")
}
