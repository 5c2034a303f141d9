package caller

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Limits on a lookup response.
const (
	maxAnswerBytes = 1 << 20 // bytes
	maxInstances   = 256
	maxKeyBytes    = 512 // bytes
	maxAge         = time.Hour
)

// Instance is one instance that a service can be reached through.
type Instance struct {
	ID      string `json:"id"`
	Address string `json:"address"` // IP:port
	Place   string `json:"place"`
}

// Answer holds the instances to use for a service.
type Answer struct {
	Service   string
	Place     string     // the caller's home place
	Until     time.Time  // when the answer stops being fresh, by the local clock
	Instances []Instance // in the order to try them; never empty
	Stale     bool       // past Until, and no instance could be reached for a newer one
}

// Key is an idempotency key and the address of its home.
type Key struct {
	Value string // empty for no key
	Home  string // address of the instance that issued it; may be empty
}

// wireAnswer is the body of a lookup response. Its "until" field is not decoded:
// it is a time of another machine's clock, and max-age carries the same limit.
type wireAnswer struct {
	Service   string     `json:"service"`
	Place     string     `json:"place"`
	Instances []Instance `json:"instances"`
	Keys      []string   `json:"keys"`
}

// decodeAnswer decodes the body of a lookup response. The error is an *AnswerError.
func decodeAnswer(r io.Reader) (wireAnswer, error) {
	b, err := io.ReadAll(io.LimitReader(r, maxAnswerBytes+1))
	if err != nil {
		return wireAnswer{}, &AnswerError{Reason: "cut short", Err: err}
	}
	if len(b) > maxAnswerBytes {
		return wireAnswer{}, &AnswerError{Reason: "too large"}
	}
	var a wireAnswer
	if err := json.Unmarshal(b, &a); err != nil {
		return wireAnswer{}, &AnswerError{Reason: "not JSON", Err: err}
	}
	if reason := a.fault(); reason != "" {
		return wireAnswer{}, &AnswerError{Reason: reason}
	}
	return a, nil
}

// fault describes what is wrong with the answer, or returns "" if it is valid.
func (a wireAnswer) fault() string {
	switch {
	case len(a.Instances) == 0:
		return "names no instance"
	case len(a.Instances) > maxInstances:
		return "names too many instances"
	case slices.ContainsFunc(a.Instances, func(i Instance) bool { return !validAddress(i.Address) }):
		return "names an address that isn't IP:port"
	case slices.ContainsFunc(a.Keys, func(k string) bool { return !validKey(k) }):
		return "holds a malformed key"
	}
	return ""
}

// validKey reports whether a key can be sent in a header.
func validKey(s string) bool {
	outside := func(r rune) bool { return r <= ' ' || r > '~' }
	return s != "" && len(s) <= maxKeyBytes && strings.IndexFunc(s, outside) < 0
}

// freshFor returns how long an answer may be cached, counted from before the
// lookup was sent; 0 if the header has no max-age.
func freshFor(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Cache-Control"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "max-age=")
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(text, 10, 31)
		if err != nil {
			return 0
		}
		return min(time.Duration(n)*time.Second, maxAge)
	}
	return 0
}
