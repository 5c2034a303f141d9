package http1

import "bytes"

// transferEncoding is the name of a field in lower case.
var transferEncoding = []byte("transfer-encoding")

// headScan finds what net/http drops from a head before it can be checked: the transfer coding of HTTP/1.0, which
// has none.
type headScan struct {
	active bool // until the line that ends the head
	lines  int  // that have ended
	empty  bool // the line has no byte so far
	named  bool // the name of the line has ended
	name   [len("transfer-encoding") + 1]byte
	n      int  // bytes of name in use; a longer name is cut
	coded  bool // a line had the name Transfer-Encoding
}

// begin starts a head, of which a part may have been received.
func (s *headScan) begin(received []byte) {
	*s = headScan{active: true, empty: true}
	s.add(received)
}

// add scans bytes of the head. Those behind its end are ignored.
func (s *headScan) add(b []byte) {
	for _, c := range b {
		if !s.active {
			return
		}
		s.addByte(c)
	}
}

func (s *headScan) addByte(c byte) {
	switch {
	case c == '\n':
		s.active = s.lines == 0 || !s.empty
		s.lines++
		s.empty, s.named, s.n = true, false, 0
	case c == '\r': // before the end of the line; elsewhere the head is malformed
	case s.lines == 0 || s.named:
		s.empty = false
	case c == ':':
		s.empty, s.named = false, true
		s.coded = s.coded || bytes.EqualFold(s.name[:s.n], transferEncoding)
	default:
		s.empty = false
		if s.n < len(s.name) {
			s.name[s.n] = c
			s.n++
		}
	}
}

// check returns a *MalformedError if net/http has dropped a part of the head, which is of HTTP/1.minor.
func (s *headScan) check(minor int) error {
	if s.coded && minor == 0 {
		return &MalformedError{What: "transfer coding of HTTP/1.0"}
	}
	return nil
}
