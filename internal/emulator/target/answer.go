package target

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
)

// An answer is a sequence of little-endian words: its length in bytes, a checksum of
// that length and the request ID, then pseudo-random words seeded by the checksum. Each
// byte follows from the ID and the length, which makes a truncated, swapped or damaged
// answer detectable.
const (
	wordLen   = 8
	headerLen = 2 * wordLen
	bufferLen = 32 << 10 // a multiple of wordLen
)

// AnswerError reports that a body is not the whole answer to its request.
type AnswerError struct {
	ID     string // of the request
	Offset int64  // number of correct bytes
	Fault  string
	Err    error // of reading the body; may be nil
}

func (e *AnswerError) Error() string {
	s := fmt.Sprintf("target: answer to %s after %d bytes: %s", e.ID, e.Offset, e.Fault)
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the error of reading the body.
func (e *AnswerError) Unwrap() error { return e.Err }

// AnswerLen returns the length in bytes of an answer of which size bytes were requested: at
// least that of the header.
func AnswerLen(size int64) int64 { return max(size, headerLen) }

// Answer returns the body that answers the request with the given ID: AnswerLen(size) bytes.
func Answer(id string, size int64) io.Reader {
	size = AnswerLen(size)
	return io.LimitReader(&wordReader{size: uint64(size), sum: checksum(id, uint64(size))}, size)
}

// VerifyAnswer reads r to its end. It returns an *AnswerError unless r holds exactly the whole
// answer to the request with the given ID.
func VerifyAnswer(id string, r io.Reader) error {
	header := make([]byte, headerLen)
	n, err := io.ReadFull(r, header)
	if err != nil {
		return &AnswerError{ID: id, Offset: int64(n), Fault: "no header", Err: err}
	}
	size := binary.LittleEndian.Uint64(header)
	sum := checksum(id, size)
	if binary.LittleEndian.Uint64(header[wordLen:]) != sum {
		return &AnswerError{ID: id, Fault: "header is damaged or another request's"}
	}
	return verifyBody(id, r, &wordReader{size: size, sum: sum, next: headerLen / wordLen}, int64(size)-headerLen)
}

// verifyBody compares what follows the header in r with the next remaining bytes of want, and
// requires that r ends there.
func verifyBody(id string, r io.Reader, want *wordReader, remaining int64) error {
	got, expected := make([]byte, bufferLen), make([]byte, bufferLen)
	offset := int64(headerLen)
	for remaining > 0 {
		part := got[:min(remaining, bufferLen)]
		n, err := io.ReadFull(r, part)
		if err != nil {
			return &AnswerError{ID: id, Offset: offset + int64(n), Fault: "cut short", Err: err}
		}
		want.fill(expected)
		if !bytes.Equal(part, expected[:n]) {
			return &AnswerError{ID: id, Offset: offset, Fault: "wrong bytes"}
		}
		offset += int64(n)
		remaining -= int64(n)
	}
	n, err := io.ReadFull(r, got[:1])
	if n > 0 {
		return &AnswerError{ID: id, Offset: offset, Fault: "more than declared"}
	}
	if err != io.EOF {
		return &AnswerError{ID: id, Offset: offset, Fault: "no clean end", Err: err}
	}
	return nil
}

func checksum(id string, size uint64) uint64 {
	b := binary.LittleEndian.AppendUint64([]byte(id), size)
	return xxhash.Sum64(b)
}

// wordReader generates the words of an answer, without an end.
type wordReader struct {
	size     uint64
	sum      uint64
	next     uint64 // index of the next word
	leftover []byte // unread bytes of the previous word
}

func (g *wordReader) Read(b []byte) (int, error) {
	n := copy(b, g.leftover)
	g.leftover = g.leftover[n:]
	whole := (len(b) - n) / wordLen * wordLen
	g.fill(b[n : n+whole])
	n += whole
	if n < len(b) {
		word := make([]byte, wordLen)
		g.fill(word)
		m := copy(b[n:], word)
		g.leftover = word[m:]
		n += m
	}
	return n, nil
}

// fill fills b with whole words and leaves a shorter remainder as it is.
func (g *wordReader) fill(b []byte) {
	for ; len(b) >= wordLen; b = b[wordLen:] {
		binary.LittleEndian.PutUint64(b, g.word())
	}
}

func (g *wordReader) word() uint64 {
	i := g.next
	g.next++
	switch i {
	case 0:
		return g.size
	case 1:
		return g.sum
	}
	return mix(g.sum + i*0x9e3779b97f4a7c15)
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
