package mirror

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
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
			a, err := newAnswer(platform.Revision{}, excerpt{revision: at(9), items: []platform.Item{item}})
			if err != nil {
				t.Fatal(err)
			}
			var r relayAnswer
			if err := json.Unmarshal(a.plain, &r); err != nil {
				t.Fatal(err)
			}
			got := r.update().events
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
		a, err := newAnswer(platform.Revision{}, e)
		if err != nil {
			b.Fatal(err)
		}
		sent = len(a.compressed)
	}
	b.ReportMetric(float64(sent), "sent-bytes")
}

// BenchmarkTakeWholeList decodes that answer.
func BenchmarkTakeWholeList(b *testing.B) {
	a, err := newAnswer(platform.Revision{}, wholeList())
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		var r relayAnswer
		if err := json.Unmarshal(a.plain, &r); err != nil {
			b.Fatal(err)
		}
		r.update()
	}
}
