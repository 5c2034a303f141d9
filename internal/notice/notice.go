// Package notice parses the notices of targets: headers of their answers that announce which
// requests they accept.
package notice

import (
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Notice is what a target announces in one answer.
type Notice struct {
	Leaving  bool          // the target is leaving and accepts no new requests
	Limit    float64       // requests per second that it accepts from all instances together; 0 or more
	HasLimit bool          // whether Limit is set
	BackOff  time.Duration // time in which it accepts no requests from this instance; 0 if not set
}

// Any reports whether the notice contains anything.
func (n Notice) Any() bool { return n.Leaving || n.HasLimit || n.BackOff > 0 }

// HeaderNames are the names of the notice headers.
type HeaderNames struct {
	Leaving string // "1"
	Limit   string // decimal number
	BackOff string // decimal number of seconds; read only with status 503
}

// maxBackOff is the longest back-off that is accepted, longer than any target runs.
const maxBackOff = 24 * time.Hour

// Read parses the notice of an answer. Headers that can't be parsed are ignored, and returned as
// "name: value".
func (n HeaderNames) Read(status int, h http.Header) (Notice, []string) {
	r := reader{header: h}
	notice := Notice{Leaving: r.flag(n.Leaving)}
	notice.Limit, notice.HasLimit = r.number(n.Limit)
	if status == http.StatusServiceUnavailable {
		seconds, _ := r.number(n.BackOff)
		notice.BackOff = time.Duration(min(seconds, maxBackOff.Seconds()) * float64(time.Second))
	}
	return notice, r.invalid
}

// reader parses headers, and collects those that can't be parsed.
type reader struct {
	header  http.Header
	invalid []string
}

// flag parses a header that is "1" or absent.
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

// number parses a header with a single number, 0 or more.
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
