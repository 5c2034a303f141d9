package once

import (
	"crypto/sha256"
	"encoding/binary"
	"net/http"
)

// OutcomeKind is the result of an attempt.
type OutcomeKind uint8

// Kinds of outcome. The zero value means that there is none yet.
const (
	OutcomeAnswered OutcomeKind = iota + 1 // the target's complete answer was received
	OutcomeNotRun                          // proved not to have run
	OutcomeUnknown                         // may have run; final
)

// String returns the name used on the wire.
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

// Proof is the reason why a dispatched request is certain not to have run.
type Proof uint8

// Proofs that nothing ran. A timeout or a lost connection proves nothing.
const (
	ProofNone    Proof = iota
	ProofNoConn        // the connection was refused
	ProofNoByte        // no byte of the request was sent
	ProofRefusal       // the target refused the request
)

// Outcome is the result of an attempt and, if it was answered, the answer.
type Outcome struct {
	Kind    OutcomeKind
	Proof   Proof       // of OutcomeNotRun after a dispatch
	Status  int         // of OutcomeAnswered
	Header  http.Header // of OutcomeAnswered; must not be changed afterwards
	Body    []byte      // of OutcomeAnswered; must not be changed afterwards
	Dropped bool        // the target answered, but header and body were too large to store
}

// size returns the bytes that the stored answer takes in addition to its record.
func (o Outcome) size() int {
	const valueSize = 48 // approximate bytes of string headers and map overhead
	n := len(o.Body)
	for name, values := range o.Header {
		n += len(name) + valueSize
		for _, v := range values {
			n += len(v) + valueSize
		}
	}
	return n
}

// Fingerprint is a hash by which two requests with the same key are compared.
type Fingerprint [sha256.Size]byte

// NewFingerprint returns the hash of a request. body is nil if it is too large to
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
