package once

import (
	"errors"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

var start = time.UnixMilli(1_800_000_000_000).UTC()

func newIssuer(t interface {
	Helper()
	Fatal(...any)
}, instance string, incarnation uint64,
) *Issuer {
	t.Helper()
	secret := Secret{byte(incarnation), byte(len(instance)), instance[0]}
	i, err := NewIssuer(instance, incarnation, secret, rand.New(rand.NewPCG(incarnation, uint64(instance[0]))))
	if err != nil {
		t.Fatal(err)
	}
	return i
}

func TestKeyRoundTrip(t *testing.T) {
	i := newIssuer(t, "bne-north.1", 7)
	want := i.Issue(start.Add(time.Second))
	got, err := ParseKey(want.String())
	if err != nil || got != want {
		t.Fatalf("got %v, %v, want %v", got, err, want)
	}
	if !i.Genuine(got) || !got.Until().Equal(start.Add(time.Second)) || got.Incarnation() != 7 {
		t.Errorf("got %v, want the issued key", got)
	}
}

func TestParseKeyFaults(t *testing.T) {
	good := newIssuer(t, "a", 1).Issue(start).String()
	parts := strings.Split(good, ".")
	join := func(n int, s string) string {
		p := append([]string(nil), parts...)
		p[n] = s
		return strings.Join(p, ".")
	}
	tests := map[string]struct{ in, part string }{
		"empty":           {"", "text"},
		"long":            {good + strings.Repeat("a", MaxKey), "text"},
		"long instance":   {join(4, strings.Repeat("a", MaxInstance+1)), "text"},
		"upper case":      {join(0, "000000000000000A"), "incarnation"},
		"plus sign":       {join(0, "+000000000000001"), "incarnation"},
		"short number":    {join(1, "00"), "number"},
		"until negative":  {join(2, "ffffffffffffffff"), "until"},
		"mac not hex":     {join(3, strings.Repeat("g", macDigits)), "mac"},
		"no instance":     {join(4, ""), "instance"},
		"instance spaced": {join(4, "a b"), "instance"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := ParseKey(tt.in)
			var got *KeyError
			if !errors.As(err, &got) || got.Part != tt.part {
				t.Errorf("got %v, want a *KeyError for %s", err, tt.part)
			}
		})
	}
}

func TestGenuineRefusesEveryChangedDigit(t *testing.T) {
	i := newIssuer(t, "a", 1)
	text := i.Issue(start).String()
	for n := range len(text) {
		b := []byte(text)
		if b[n] == '1' {
			b[n] = '2'
		} else {
			b[n] = '1'
		}
		k, err := ParseKey(string(b))
		if err == nil && i.Genuine(k) {
			t.Errorf("got a genuine key with byte %d changed, want none", n)
		}
	}
}

func FuzzParseKey(f *testing.F) {
	i := newIssuer(f, "bne-north.1", 7)
	f.Add(i.Issue(start).String())
	f.Add("....")
	f.Fuzz(func(t *testing.T, s string) {
		k, err := ParseKey(s)
		if err != nil {
			var want *KeyError
			if !errors.As(err, &want) {
				t.Fatalf("got %T, want *KeyError", err)
			}
			return
		}
		if got := k.String(); got != s {
			t.Fatalf("got %q, want %q", got, s)
		}
	})
}
