package once

import (
	"crypto/sha256"
	"encoding/binary"
	"net/http"
)

// OutcomeKind says how an attempt ended.
type OutcomeKind uint8

// Kinds of outcome. The zero kind is no outcome.
const (
	OutcomeAnswered OutcomeKind = iota + 1 // the target's whole answer is known
	OutcomeNotRun                          // proved that nothing ran
	OutcomeUnknown                         // it may have run; stays so for ever
)

// String returns the word of the wire.
func (k OutcomeKind) String() string {
	switch k {
	case OutcomeAnswered:
		return "answered"
	case OutcomeNotRun:
		return "not-run"
	case OutcomeUnknown:
		return "unknown"
	default:
		return "none"
	}
}

// Proof says why nothing ran although the request was dispatched.
type Proof uint8

// Proofs that nothing ran. A timeout or a lost connection is none.
const (
	ProofNone    Proof = iota
	ProofNoConn        // the connection was refused
	ProofNoByte        // no byte of the request was sent
	ProofRefusal       // the target's own refusal
)

// Outcome is how an attempt ended.
type Outcome struct {
	Kind    OutcomeKind
	Proof   Proof       // of OutcomeNotRun after a dispatch
	Status  int         // of OutcomeAnswered
	Header  http.Header // of OutcomeAnswered; must not be changed afterwards
	Body    []byte      // of OutcomeAnswered; must not be changed afterwards
	Dropped bool        // the target answered, but header and body were too large to keep
}

// size returns the bytes that keeping the answer takes beyond its record.
func (o Outcome) size() int {
	const valueSize = 48 // string headers and the map's share, roughly
	n := len(o.Body)
	for name, values := range o.Header {
		n += len(name) + valueSize
		for _, v := range values {
			n += len(v) + valueSize
		}
	}
	return n
}

// Fingerprint tells whether two requests with one key are the same request.
type Fingerprint [sha256.Size]byte

// NewFingerprint hashes a request. Pass a nil body when it is too large to
// have been read at this point.
func NewFingerprint(method, path string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		h.Write(n[:])
		h.Write(part)
	}
	return Fingerprint(h.Sum(nil))
}
