package http1

import (
	"fmt"
	"net/http"
	"strings"
)

// MalformedError reports a head that net/http accepts and other parsers may read differently.
type MalformedError struct {
	What  string
	Value string
}

func (e *MalformedError) Error() string {
	return fmt.Sprintf("http1: malformed %s: %q", e.What, e.Value)
}

// maxStatus is the highest status that RFC 9110 allows.
const maxStatus = 599

// CheckResponse returns a *MalformedError if the head of an answer isn't valid HTTP/1: net/http accepts names of
// fields that contain blanks, and statuses of any three characters that form a number.
func CheckResponse(resp *http.Response) error {
	if resp.StatusCode < http.StatusContinue || resp.StatusCode > maxStatus {
		return &MalformedError{What: "status", Value: clip(resp.Status)}
	}
	if resp.ProtoMajor != 1 {
		return &MalformedError{What: "version", Value: clip(resp.Proto)}
	}
	return checkFields(resp.Header)
}

// checkRequest returns a *MalformedError if a target may read the head of a request differently.
func checkRequest(r *http.Request) error {
	if r.ProtoMajor != 1 {
		return &MalformedError{What: "version", Value: clip(r.Proto)}
	}
	if !validWord(r.RequestURI) {
		return &MalformedError{What: "URI", Value: clip(r.RequestURI)}
	}
	if !validWord(r.Host) {
		return &MalformedError{What: "host", Value: clip(r.Host)}
	}
	return checkFields(r.Header)
}

func checkFields(h http.Header) error {
	for name, values := range h {
		if !validName(name) {
			return &MalformedError{What: "field name", Value: clip(name)}
		}
		for _, value := range values {
			if !validValue(value) {
				return &MalformedError{What: "field value", Value: clip(value)}
			}
		}
	}
	return nil
}

// validName reports whether the name of a field is a token.
func validName(name string) bool {
	for k := range len(name) {
		if !isTokenByte(name[k]) {
			return false
		}
	}
	return name != ""
}

func isTokenByte(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}

// validValue reports whether a value contains no control characters except tabs.
func validValue(value string) bool {
	for k := range len(value) {
		if c := value[k]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// validWord reports whether a part of a line contains neither blanks nor control characters.
func validWord(word string) bool { return validValue(word) && !strings.ContainsAny(word, " \t") }

// maxClipped is how much of a malformed value an error shows, in bytes.
const maxClipped = 64

func clip(s string) string { return s[:min(len(s), maxClipped)] }
