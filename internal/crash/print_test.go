package crash

import "testing"

// Repeats of a request have the same fingerprint, and a request that differs in anything that a
// target receives has another.
func TestFingerprint(t *testing.T) {
	first := Request{Method: "GET", Host: "h", URI: "/a?b", Caller: "k", Object: "7", Body: []byte("hi")}
	tests := map[string]struct {
		change func(*Request)
		same   bool
	}{
		"again":            {func(*Request) {}, true},
		"another method":   {func(r *Request) { r.Method = "POST" }, false},
		"another host":     {func(r *Request) { r.Host = "i" }, false},
		"another path":     {func(r *Request) { r.URI = "/a?c" }, false},
		"another caller":   {func(r *Request) { r.Caller = "l" }, false},
		"another object":   {func(r *Request) { r.Object = "8" }, false},
		"another body":     {func(r *Request) { r.Body = []byte("ho") }, false},
		"fields run over":  {func(r *Request) { r.Host, r.URI = "h/a", "?b" }, false},
		"object as a body": {func(r *Request) { r.Object, r.Body = "", []byte("7hi") }, false},
		"caller in a path": {func(r *Request) { r.URI, r.Caller = "/a?bk", "" }, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := first
			tt.change(&r)
			if got := r.Fingerprint() == first.Fingerprint(); got != tt.same {
				t.Errorf("got the same fingerprint: %t, want %t", got, tt.same)
			}
			text, err := r.Fingerprint().MarshalText()
			var read Fingerprint
			if err == nil {
				err = read.UnmarshalText(text)
			}
			if err != nil || read != r.Fingerprint() {
				t.Errorf("got %v, %v from %q, want %v", read, err, text, r.Fingerprint())
			}
		})
	}
	var p Fingerprint
	if err := p.UnmarshalText([]byte("no number")); err == nil {
		t.Error("got no error for an invalid fingerprint")
	}
}
