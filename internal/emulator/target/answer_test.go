package target

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
)

func TestVerifyAnswer(t *testing.T) {
	const size = 100_003
	whole, _ := io.ReadAll(Answer("a", size))
	damaged := bytes.Clone(whole)
	damaged[size/2] ^= 1
	longer := bytes.Clone(whole)
	longer[0]++ // declares one more byte
	tests := map[string]struct {
		body io.Reader
		want string // AnswerError.Fault; empty for a whole answer
	}{
		"whole":     {bytes.NewReader(whole), ""},
		"by bytes":  {iotest.OneByteReader(Answer("a", size)), ""},
		"smallest":  {Answer("a", 0), ""},
		"empty":     {bytes.NewReader(nil), "no header"},
		"other id":  {Answer("b", size), "header is damaged or another request's"},
		"cut short": {bytes.NewReader(whole[:size-1]), "cut short"},
		"too long":  {bytes.NewReader(append(bytes.Clone(whole), 0)), "more than declared"},
		"damaged":   {bytes.NewReader(damaged), "wrong bytes"},
		"longer":    {bytes.NewReader(append(longer, 0)), "header is damaged or another request's"},
		"no end":    {io.MultiReader(bytes.NewReader(whole), iotest.ErrReader(io.ErrUnexpectedEOF)), "no clean end"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			err := VerifyAnswer("a", tt.body)
			got := ""
			if fault := (*AnswerError)(nil); errors.As(err, &fault) {
				got = fault.Fault
			}
			if got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

func FuzzVerifyAnswer(f *testing.F) {
	answer, _ := io.ReadAll(Answer("a", 64))
	f.Add(answer)
	f.Add(answer[:20])
	f.Fuzz(func(t *testing.T, b []byte) {
		err := VerifyAnswer("a", bytes.NewReader(b))
		want, _ := io.ReadAll(io.LimitReader(Answer("a", int64(len(b))), int64(len(b))+1))
		if got := err == nil; got != bytes.Equal(b, want) {
			t.Errorf("got whole %v for %x: %v", got, b, err)
		}
	})
}
