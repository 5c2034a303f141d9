package wire

import (
	"bytes"
	"runtime"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
)

// What a message holds once it is decoded is never more than RequestBytes says.
func TestRequestBytes(t *testing.T) {
	documents := make([]*Document, 1000)
	for k := range documents {
		documents[k] = &Document{Path: "/places/a", Version: 1, Value: []byte(strings.Repeat("x", 500))}
	}
	for name, encoded := range map[string][]byte{
		"empty elements":    bytes.Repeat([]byte{0x0a, 0x00}, 100_000),
		"short elements":    bytes.Repeat([]byte{0x0a, 0x02, 0x10, 0x01}, 100_000),
		"usual documents":   encode(t, &PushRequest{Documents: documents}),
		"no message at all": bytes.Repeat([]byte{0xff}, 1<<20),
	} {
		t.Run(name, func(t *testing.T) {
			var m PushRequest
			before := heap()
			_ = proto.Unmarshal(encoded, &m)
			got := heap() - before
			if want := RequestBytes("Push", encoded); got > want {
				t.Errorf("got %d bytes held, want %d at most", got, want)
			}
			runtime.KeepAlive(&m)
		})
	}
	if got, want := RequestBytes("Push", encode(t, &PushRequest{Documents: documents})), int64(6<<20); got > want {
		t.Errorf("got %d bytes for 1,000 documents of 500 bytes, want %d at most", got, want)
	}
}

func encode(t *testing.T, m proto.Message) []byte {
	t.Helper()
	b, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// heap returns how many bytes live on the heap.
func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
