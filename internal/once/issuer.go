package once

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"math/rand/v2"
	"time"
)

// Secret authenticates the keys of one incarnation. It must come from a
// cryptographic source and leaves the process nowhere.
type Secret [32]byte

// Issuer issues the keys of one incarnation and tells them from forged ones.
type Issuer struct {
	instance    string
	incarnation uint64
	secret      Secret // never shared with another incarnation
	rnd         *rand.Rand
}

// NewIssuer makes the issuer of one incarnation. rnd must not repeat itself
// between incarnations: outside tests seed rand.NewChaCha8 from crypto/rand.
// The error is a *NameError.
func NewIssuer(instance string, incarnation uint64, secret Secret, rnd *rand.Rand) (*Issuer, error) {
	if !validInstance(instance) {
		return nil, &NameError{Name: instance}
	}
	return &Issuer{instance: instance, incarnation: incarnation, secret: secret, rnd: rnd}, nil
}

// Issue makes a key that lasts until the given time, cut to a millisecond.
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

// Genuine says whether this incarnation issued k as it stands.
func (i *Issuer) Genuine(k Key) bool {
	want := i.sign(k)
	return i.IsHomeOf(k) && hmac.Equal(want[:], k.mac[:])
}

// IsHomeOf says whether k names this incarnation.
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
	h.Write([]byte(k.instance)) // last, so that no length is needed
	var mac [macSize]byte
	copy(mac[:], h.Sum(nil))
	return mac
}
