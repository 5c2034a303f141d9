// Package notice reads what a target says, in the headers of its answers, of the requests that
// it wants.
package notice

import (
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Notice is what a target says in one answer.
type Notice struct {
	Leaving bool          // it leaves, and wants no new requests
	Limit   float64       // requests a second that it takes from all instances together; 0 or more
	Limited bool          // Limit is set
	Rest    time.Duration // it wants nothing from this instance for so long; 0 if not said
}

// Any says whether there is anything in the notice.
func (n Notice) Any() bool { return n.Leaving || n.Limited || n.Rest > 0 }

// Names are the headers of notices.
type Names struct {
	Leaving string // "1"
	Limit   string // a decimal number
	Rest    string // seconds, a decimal number; with 503 alone
}

// maxBackOff bounds the time of rest that a target may ask for: longer than one runs.
const maxBackOff = 24 * time.Hour

// Read reads the notice of an answer. A header that can't be read counts for nothing, and is
// returned as "name: value".
func (n Names) Read(status int, h http.Header) (Notice, []string) {
	r := reader{header: h}
	notice := Notice{Leaving: r.flag(n.Leaving)}
	notice.Limit, notice.Limited = r.number(n.Limit)
	if status == http.StatusServiceUnavailable {
		seconds, _ := r.number(n.Rest)
		notice.Rest = time.Duration(min(seconds, maxBackOff.Seconds()) * float64(time.Second))
	}
	return notice, r.invalid
}

// reader reads headers, and keeps those that can't be read.
type reader struct {
	header  http.Header
	invalid []string
}

// flag reads a header that is "1" or not there.
func (r *reader) flag(name string) bool {
	values := r.header[name]
	if len(values) == 0 {
		return false
	}
	if slices.Contains(values, "1") {
		return true
	}
	r.reject(name, values)
	return false
}

// number reads a header that holds one number, 0 or more.
func (r *reader) number(name string) (float64, bool) {
	values := r.header[name]
	if len(values) == 0 {
		return 0, false
	}
	v, err := strconv.ParseFloat(strings.TrimSpace(values[0]), 64)
	if len(values) > 1 || err != nil || !(v >= 0) || math.IsInf(v, 0) {
		r.reject(name, values)
		return 0, false
	}
	return v, true
}

func (r *reader) reject(name string, values []string) {
	r.invalid = append(r.invalid, name+": "+strings.Join(values, ", "))
}
