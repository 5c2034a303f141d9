package http1

import (
	"bytes"
	"net/http"
)

const (
	// lineBytes is what a header line holds besides its own bytes once it is parsed: an entry of a map
	// that is half full, its slice of values and their string headers.
	lineBytes = 128
	// ordinaryHead is what a head may hold that counts with its connection or request.
	ordinaryHead = 8 << 10
	// chargeStep is how many bytes are taken from the budget at a time while a head is read.
	chargeStep = 16 << 10
)

// headBytes returns how many bytes a parsed head holds.
func headBytes(start int, h http.Header) int64 {
	n := int64(start)
	for name, values := range h {
		n += int64(len(name)) + lineBytes
		for _, value := range values {
			n += int64(len(value))
		}
		if more := len(values) - 1; more > 0 {
			n += int64(more) * lineBytes
		}
	}
	return n
}

// headMeter takes from a budget what a head holds while it is read.
type headMeter struct {
	take  func(n int64) bool // nil while no head is read
	size  int64              // bytes that the head holds so far, at most
	taken int64              // bytes of the budget; size - ordinaryHead at least
	full  bool               // the budget had no room
}

// begin starts a head, of which a part may have been received.
func (m *headMeter) begin(take func(n int64) bool, received []byte) {
	*m = headMeter{take: take}
	m.add(received)
}

// add counts bytes of the head. It returns false if there is no room for them.
func (m *headMeter) add(b []byte) bool {
	if m.take == nil {
		return true
	}
	m.size += int64(len(b) + lineBytes*bytes.Count(b, newline))
	if missing := m.size - ordinaryHead - m.taken; missing > 0 {
		n := max(missing, chargeStep)
		if !m.take(n) {
			m.full = true
			return false
		}
		m.taken += n
	}
	return true
}

var newline = []byte{'\n'}

// end ends the head, and returns what was taken from the budget.
func (m *headMeter) end() int64 {
	m.take = nil
	return m.taken
}
