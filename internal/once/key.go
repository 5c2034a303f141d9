// Package once runs each non-idempotent request at most once. A Key belongs to
// one incarnation of one instance, its home. Only the home may run the request;
// every other instance forwards the key to it or answers "unknown".
//
// The package does no I/O and is not safe for concurrent use.
package once

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Maximum lengths in the text form of a key, in bytes.
const (
	MaxInstance = 64 // instance name
	MaxKey      = 4 + wordDigits + numberDigits + wordDigits + macDigits + MaxInstance
)

const (
	numberSize   = 16 // bytes
	macSize      = 16 // bytes; the HMAC is truncated to it
	wordDigits   = 16 // hex digits of a 64-bit word
	numberDigits = 2 * numberSize
	macDigits    = 2 * macSize
	keyParts     = 5
)

// Key identifies one non-idempotent request. It can be compared with ==.
type Key struct {
	instance    string           // name of the home; never empty in a parsed or issued key
	incarnation uint64           // of the home
	number      [numberSize]byte // random; unique within the incarnation
	until       int64            // Unix milliseconds by the home's clock; never negative
	mac         [macSize]byte    // of all other fields, under the incarnation's secret
}

// Instance returns the name of the home.
func (k Key) Instance() string { return k.instance }

// Incarnation returns the incarnation of the home.
func (k Key) Incarnation() uint64 { return k.incarnation }

// Until returns the deadline from which on the request is no longer started. Only
// the home's clock decides.
func (k Key) Until() time.Time { return time.UnixMilli(k.until).UTC() }

// String returns the text that ParseKey reads.
func (k Key) String() string {
	return fmt.Sprintf("%016x.%x.%016x.%x.%s", k.incarnation, k.number, k.until, k.mac, k.instance)
}

// ParseKey parses the text form of a key, of which there is exactly one. It
// doesn't authenticate the key: only its home can. The error is a *KeyError.
func ParseKey(s string) (Key, error) {
	if len(s) > MaxKey {
		return Key{}, &KeyError{Part: "text", Reason: "is too long"}
	}
	parts := strings.SplitN(s, ".", keyParts)
	if len(parts) != keyParts {
		return Key{}, &KeyError{Part: "text", Reason: "has too few parts"}
	}
	var k Key
	var err error
	if k.incarnation, err = parseWord("incarnation", parts[0]); err != nil {
		return Key{}, err
	}
	if err := parseBytes("number", parts[1], k.number[:]); err != nil {
		return Key{}, err
	}
	until, err := parseWord("until", parts[2])
	if err != nil {
		return Key{}, err
	}
	k.until = int64(until)
	if k.until < 0 {
		return Key{}, &KeyError{Part: "until", Reason: "is out of range"}
	}
	if err := parseBytes("mac", parts[3], k.mac[:]); err != nil {
		return Key{}, err
	}
	if !validInstance(parts[4]) {
		return Key{}, &KeyError{Part: "instance", Reason: "is not a name"}
	}
	k.instance = parts[4]
	return k, nil
}

func parseWord(part, s string) (uint64, error) {
	if len(s) != wordDigits || !lowerHex(s) {
		return 0, &KeyError{Part: part, Reason: "is not 16 lower-case hex digits"}
	}
	n, err := strconv.ParseUint(s, 16, 64)
	if err != nil {
		return 0, &KeyError{Part: part, Reason: "is out of range"}
	}
	return n, nil
}

func parseBytes(part, s string, to []byte) error {
	if len(s) != 2*len(to) || !lowerHex(s) {
		return &KeyError{Part: part, Reason: "is not 32 lower-case hex digits"}
	}
	if _, err := hex.Decode(to, []byte(s)); err != nil {
		return &KeyError{Part: part, Reason: "is not hex"}
	}
	return nil
}

func lowerHex(s string) bool {
	for _, c := range []byte(s) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

func validInstance(s string) bool {
	if s == "" || len(s) > MaxInstance {
		return false
	}
	for _, c := range []byte(s) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && c != '.' && c != '_' && c != '-' {
			return false
		}
	}
	return true
}
