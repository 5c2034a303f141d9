package mirror

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/firlever/firlever/platform"
)

// Peers receive each value as the store holds it, whatever its bytes are.
func TestValuesArePassedOn(t *testing.T) {
	tests := map[string][]byte{
		"none":     nil,
		"JSON":     []byte(`{"id":"t1","slots":6}`),
		"escapes":  []byte("a \"b\" \\ <c> & \u2028 \x00 \t"),
		"no UTF-8": {0xff, 'a', 0xc3, 0x28},
		"a broken": []byte("\xed\xa0\x80"),
		"replaced": []byte("\ufffd"),
	}
	for name, value := range tests {
		t.Run(name, func(t *testing.T) {
			item := platform.Item{Key: "k", Value: value, Changed: at(7), Created: at(5)}
			a, err := newAnswer(excerpt{revision: at(9), items: []platform.Item{item}})
			if err != nil {
				t.Fatal(err)
			}
			n, err := decodeUpdate(bytes.NewReader(a.plain))
			if err != nil {
				t.Fatal(err)
			}
			got := n.events
			if len(got) != 1 || got[0].Key != "k" || got[0].Changed != at(7) || got[0].Created != at(5) || !bytes.Equal(got[0].Value, value) {
				t.Errorf("got %+v, want %+v", got, item)
			}
		})
	}
}

// wholeList is the whole view of a store with 3,000 targets.
func wholeList() excerpt {
	rng := rand.New(rand.NewPCG(1, 1))
	e := excerpt{revision: at(9)}
	for i := range 3000 {
		value := fmt.Sprintf(`{"id":"i-%08x","service":"s%d","address":"10.%d.64.%d:8127","domain":"d%d","slots":6,"started":%d,"sequence":%d}`,
			rng.Uint32(), i%3, i%6, i%250, i%6, 1_779_000_000_000+rng.Int64N(1e9), i%9)
		e.items = append(e.items, platform.Item{Key: fmt.Sprintf("/targets/i-%08x", rng.Uint32()), Value: []byte(value), Changed: at(uint64(i + 1))})
	}
	return e
}

// BenchmarkWholeList encodes the answer that all instances receive when they start at once;
// sent-bytes is its size for each of them.
func BenchmarkWholeList(b *testing.B) {
	e, sent := wholeList(), 0
	for b.Loop() {
		a, err := newAnswer(e)
		if err != nil {
			b.Fatal(err)
		}
		sent = len(a.compressed)
	}
	b.ReportMetric(float64(sent), "sent-bytes")
}

// BenchmarkTakeWholeList decodes that answer.
func BenchmarkTakeWholeList(b *testing.B) {
	a, err := newAnswer(wholeList())
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := decodeUpdate(bytes.NewReader(a.plain)); err != nil {
			b.Fatal(err)
		}
	}
}

// A broken answer is an error, however it is broken, and fields of later versions are ignored.
func TestDecodeUpdate(t *testing.T) {
	tests := map[string]struct {
		text   string
		ok     bool
		events int
	}{
		"whole":         {`{"whole":true,"events":[{"key":"a"},{"key":"b"}],"revision":"0.9"}`, true, 2},
		"unknown field": {`{"more":{"x":[1]},"events":[{"key":"a"}],"revision":"0.9"}`, true, 1},
		"no list":       {`{"events":{"key":"a"},"revision":"0.9"}`, false, 0},
		"null list":     {`{"events":null,"revision":"0.9"}`, false, 0},
		"cut":           {`{"whole":true,"events":[{"key":"a"}`, false, 0},
		"no object":     {`[]`, false, 0},
		"empty":         {``, false, 0},
		"bad revision":  {`{"events":[],"revision":"x"}`, false, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n, err := decodeUpdate(strings.NewReader(tt.text))
			if (err == nil) != tt.ok || tt.ok && len(n.events) != tt.events {
				t.Errorf("got %d events, %v, want %d, ok %t", len(n.events), err, tt.events, tt.ok)
			}
		})
	}
}

// Decoding a whole view allocates little more than its items.
func TestDecodeAllocates(t *testing.T) {
	a, err := newAnswer(wholeList())
	if err != nil {
		t.Fatal(err)
	}
	got := allocated(func() {
		if _, err := decodeUpdate(bytes.NewReader(a.plain)); err != nil {
			t.Fatal(err)
		}
	})
	if most := uint64(6 * len(a.plain)); got > most {
		t.Errorf("got %d bytes allocated for an answer of %d, want %d at most", got, len(a.plain), most)
	}
}

func FuzzDecodeUpdate(f *testing.F) {
	f.Add([]byte(`{"whole":true,"events":[{"key":"a"}],"revision":"0.9"}`))
	f.Fuzz(func(_ *testing.T, b []byte) { decodeUpdate(bytes.NewReader(b)) })
}
