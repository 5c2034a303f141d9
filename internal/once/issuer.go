package once

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"math/rand/v2"
	"time"
)

// Secret authenticates the keys of one incarnation. It must come from a
// cryptographic random source and must not leave the process.
type Secret [32]byte

// Issuer issues and authenticates the keys of one incarnation.
type Issuer struct {
	instance    string
	incarnation uint64
	secret      Secret // never shared with another incarnation
	rnd         *rand.Rand
}

// NewIssuer returns the issuer of one incarnation. rnd must not repeat its output
// in another incarnation: outside tests, seed rand.NewChaCha8 from crypto/rand.
// The error is a *NameError.
func NewIssuer(instance string, incarnation uint64, secret Secret, rnd *rand.Rand) (*Issuer, error) {
	if !validInstance(instance) {
		return nil, &NameError{Name: instance}
	}
	return &Issuer{instance: instance, incarnation: incarnation, secret: secret, rnd: rnd}, nil
}

// Issue returns a key that is valid until the given time, truncated to a
// millisecond.
func (i *Issuer) Issue(until time.Time) Key {
	k := Key{
		instance:    i.instance,
		incarnation: i.incarnation,
		until:       max(0, until.UnixMilli()),
	}
	binary.BigEndian.PutUint64(k.number[:8], i.rnd.Uint64())
	binary.BigEndian.PutUint64(k.number[8:], i.rnd.Uint64())
	k.mac = i.sign(k)
	return k
}

// Genuine reports whether this incarnation issued k, unmodified.
func (i *Issuer) Genuine(k Key) bool {
	want := i.sign(k)
	return i.IsHomeOf(k) && hmac.Equal(want[:], k.mac[:])
}

// IsHomeOf reports whether k names this incarnation as its home. It does not
// authenticate k.
func (i *Issuer) IsHomeOf(k Key) bool {
	return k.instance == i.instance && k.incarnation == i.incarnation
}

func (i *Issuer) sign(k Key) [macSize]byte {
	var words [2 * 8]byte
	binary.BigEndian.PutUint64(words[:8], k.incarnation)
	binary.BigEndian.PutUint64(words[8:], uint64(k.until))
	h := hmac.New(sha256.New, i.secret[:])
	h.Write(words[:])
	h.Write(k.number[:])
	h.Write([]byte(k.instance)) // the only part of variable length comes last and needs no length prefix
	var mac [macSize]byte
	copy(mac[:], h.Sum(nil))
	return mac
}
