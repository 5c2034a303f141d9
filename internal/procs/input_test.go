//go:build linux

package procs

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os/exec"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/operator"
	"github.com/firlever/firlever/pkg/settings"
)

var platformLine = regexp.MustCompile(`platform at (\S+)`)

// processPair is a platform and an instance, both real processes, whose settings are
// written by the command line.
type processPair struct {
	t                                  *testing.T
	platform, instance                 *process
	callerAddr, peerAddr, operatorAddr string
	f                                  *fleet // emulated platform and targets, without instances
}

func newProcessPair(t *testing.T) *processPair {
	t.Helper()
	p := &processPair{t: t, f: newFleet(t, options{places: []place{{"a", 0, 1}}})}
	p.platform = startProcess(t, "platform", "--listen", "127.0.0.1:0")
	t.Cleanup(p.platform.kill)
	address := p.platform.awaitLine(t, platformLine)[1]
	p.instance = startProcess(t, "serve", "--id", "only", "--place", "a", "--region", "coast", "--log", "warn",
		"--callers", "127.0.0.1:0", "--peers", "127.0.0.1:0", "--operators", "127.0.0.1:0", "--log", "info",
		"--platform", address, "--bootstrap", settings.HashToken(token))
	t.Cleanup(p.instance.kill)
	m := p.instance.awaitLine(t, servingLine)
	p.callerAddr, p.peerAddr, p.operatorAddr = m[1], m[2], m[3]
	for _, path := range []string{"/places/a", "/blocks/all", "/teams/shop/services/orders"} {
		p.put(path, documentBody(t, p.f, path))
	}
	return p
}

// exitUnreachable is the exit code of a command while the instance has not received all
// settings.
const exitUnreachable = 5

// put writes a document with the command line, retrying while the instance is unreachable.
func (p *processPair) put(path string, body []byte) {
	p.t.Helper()
	p.f.await("config put "+path, func() string {
		cmd := exec.Command(binary, "config", "put", path, "-", "--address", p.operatorAddr)
		cmd.Env = append(cmd.Environ(), "FIRLEVER_TOKEN="+token)
		cmd.Stdin = bytes.NewReader(body)
		out, err := cmd.CombinedOutput()
		if err != nil && cmd.ProcessState.ExitCode() != exitUnreachable {
			p.t.Fatalf("config put %s: %v\n%s", path, err, out)
		}
		if err != nil {
			return string(out)
		}
		return ""
	})
}

// awaitAnswer waits until a request through the instance gets a complete answer, and fails
// the test if the instance has exited.
func (p *processPair) awaitAnswer(what string) {
	p.t.Helper()
	i := 0
	p.f.await("answer "+what, func() string {
		i++
		l := &load{f: p.f, tr: traffic{home: "a", timeout: 2 * time.Second}, client: p.f.clientForAddresses("a", p.callerAddr), began: time.Now()}
		l.idempotent.failureCounts = map[string]int{}
		l.get(fmt.Sprintf("%s-%d-%d", strings.ReplaceAll(what, " ", "-"), p.f.number, i))
		if l.idempotent.answered == 1 {
			return ""
		}
		return l.idempotent.String()
	})
	select {
	case <-p.instance.done:
		p.t.Fatalf("%s: instance exited:\n%s", what, p.instance.out.tail(20))
	default:
	}
}

// sendRequest sends a request without the client library and returns status, header and
// body; status 0 if there was no answer.
func (p *processPair) sendRequest(method, url string, header http.Header, body io.Reader) (int, http.Header, []byte) {
	p.t.Helper()
	r, err := http.NewRequest(method, url, body)
	if err != nil {
		p.t.Fatal(err)
	}
	for k, v := range header {
		r.Header[k] = v
	}
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		p.t.Errorf("%s %s: %v", method, url, err)
		return 0, nil, nil
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, b
}

// TestBadInput checks that invalid input at any port gets a typed error or is dropped,
// and that the instance stays up and keeps serving.
func TestBadInput(t *testing.T) {
	t.Parallel()
	p := newProcessPair(t)
	p.awaitAnswer("before")
	p.checkBadCalls()
	p.checkBadOperatorRequests()
	p.awaitAnswer("after bad requests")
	p.sendGarbage()
	p.awaitAnswer("after garbage")
	p.checkSlowClients()
	p.checkBadCommands()
	p.awaitAnswer("after slow clients")
	st, err := operator.NewClient(p.operatorAddr, token).Status(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range st.Invariants {
		if c.Violations > 0 {
			t.Errorf("invariant violated: %s", c.Name)
		}
	}
	for name, proc := range map[string]*process{"instance": p.instance, "platform": p.platform} {
		if text := proc.out.crashOutput(); text != "" {
			t.Errorf("%s: %s", name, text)
		}
	}
	p.f.monitor.stop()
	p.f.checkJournal()
}

// checkBadCalls sends invalid requests to the addresses for callers and peers. Each must be
// refused with the outcome not-run and a reason.
func (p *processPair) checkBadCalls() {
	callers := "http://" + p.callerAddr
	peers := "http://" + p.peerAddr
	long := strings.Repeat("x", 200)
	tests := map[string]struct {
		method, url string
		header      http.Header
		body        io.Reader
		status      int
	}{
		"no service":          {"GET", callers + "/call/shop", nil, nil, 400},
		"not a name":          {"GET", callers + "/call/SHOP/orders/x", nil, nil, 400},
		"unknown service":     {"GET", callers + "/call/shop/none/x", nil, nil, 404},
		"unknown look-up":     {"GET", callers + "/lookup/shop/none", nil, nil, 404},
		"bad look-up":         {"GET", callers + "/lookup/shop/orders?keys=x", nil, nil, 400},
		"look-up below zero":  {"GET", callers + "/lookup/shop/orders?keys=-1", nil, nil, 400},
		"look-up of a novel":  {"GET", callers + "/lookup/shop/" + long, nil, nil, 400},
		"bad timeout":         {"GET", callers + "/call/shop/orders/x", http.Header{"Firlever-Timeout": {"soon"}}, nil, 400},
		"timeout below zero":  {"GET", callers + "/call/shop/orders/x", http.Header{"Firlever-Timeout": {"-1"}}, nil, 400},
		"long request id":     {"GET", callers + "/call/shop/orders/x", http.Header{"Firlever-Request": {long}}, nil, 400},
		"long key":            {"POST", callers + "/call/shop/orders/x", http.Header{"Firlever-Key": {strings.Repeat(long, 4)}}, nil, 400},
		"no key":              {"POST", callers + "/call/shop/orders/x", nil, nil, 400},
		"forged key":          {"POST", callers + "/call/shop/orders/x", http.Header{"Firlever-Key": {long}}, nil, 400},
		"hand-off of nothing": {"GET", peers + "/hand/", nil, nil, 400},
		"hand-off, bad name":  {"GET", peers + "/hand/../x", nil, nil, 400},
		"forward, forged key": {"POST", peers + "/forward/shop/orders/x", http.Header{"Firlever-Key": {long}}, nil, 400},
	}
	for name, tt := range tests {
		status, header, _ := p.sendRequest(tt.method, tt.url, tt.header, tt.body)
		if status != tt.status || header.Get("Firlever-Outcome") != "not-run" || header.Get("Firlever-Reason") == "" {
			p.t.Errorf("%s: got %d %q %q, want %d, not-run and a reason", name, status,
				header.Get("Firlever-Outcome"), header.Get("Firlever-Reason"), tt.status)
		}
	}
	for name, url := range map[string]string{"callers": callers + "/lookup/shop/orders", "peers": peers + "/hand/shop/orders/x", "operators": "http://" + p.operatorAddr + "/v1/status"} {
		if status, _, _ := p.sendRequest("GET", url, http.Header{"Large": {strings.Repeat(long, 1000)}}, nil); status != http.StatusRequestHeaderFieldsTooLarge {
			p.t.Errorf("%s, large header: got %d, want 431", name, status)
		}
	}
	for _, method := range []string{"Digest", "Fetch", "Push", "Status", "None"} {
		for _, kind := range []string{"application/protobuf", "application/json", "text/html"} {
			status, _, body := p.sendRequest("POST", peers+"/twirp/firlever.wire.Peer/"+method, http.Header{"Content-Type": {kind}}, bytes.NewReader(randomBytes(2000)))
			if status < 400 {
				p.t.Errorf("twirp %s %s: got %d %q, want a refusal", method, kind, status, body)
			}
		}
	}
}

// checkBadOperatorRequests sends invalid requests to the operators' address. Each must get
// a typed problem.
func (p *processPair) checkBadOperatorRequests() {
	at := "http://" + p.operatorAddr + "/v1/documents"
	bearer := func(s string) http.Header {
		return http.Header{"Authorization": {"Bearer " + s}, "If-Match": {`"0"`}}
	}
	large := bytes.Repeat([]byte("a: b\n"), 1<<20)
	tests := map[string]struct {
		method, url string
		header      http.Header
		body        []byte
		code        operator.Code
	}{
		"no token":         {"GET", at + "/places/a", nil, nil, operator.CodeUnauthorized},
		"bad token":        {"GET", at + "/places/a", bearer("none"), nil, operator.CodeUnauthorized},
		"not a bearer":     {"GET", at + "/places/a", http.Header{"Authorization": {"Basic eA=="}}, nil, operator.CodeUnauthorized},
		"bad path":         {"GET", at + "/nothing/here", bearer(token), nil, operator.CodeInvalid},
		"no version":       {"PUT", at + "/places/z", http.Header{"Authorization": {"Bearer " + token}}, []byte("region: r\n"), operator.CodePrecondition},
		"not YAML":         {"PUT", at + "/places/z", bearer(token), []byte("a: [b\n\x00"), operator.CodeFaults},
		"noise":            {"PUT", at + "/places/z", bearer(token), randomBytes(5000), operator.CodeFaults},
		"unknown field":    {"PUT", at + "/places/z", bearer(token), []byte("region: r\nlimit: 1\ncolour: red\n"), operator.CodeFaults},
		"impossible limit": {"PUT", at + "/places/z", bearer(token), []byte("region: r\nlimit: -1\n"), operator.CodeFaults},
		"old version":      {"PUT", at + "/places/a", bearer(token), []byte("region: r\nlimit: 1\n"), operator.CodeConflict},
		"too large":        {"PUT", at + "/places/z", bearer(token), large, operator.CodeTooLarge},
		"method":           {"PATCH", at + "/places/z", bearer(token), nil, operator.CodeMethod},
		"no such route":    {"GET", "http://" + p.operatorAddr + "/v2", bearer(token), nil, operator.CodeNotFound},
	}
	for name, tt := range tests {
		_, _, body := p.sendRequest(tt.method, tt.url, tt.header, bytes.NewReader(tt.body))
		var problem operator.Problem
		if err := json.Unmarshal(body, &problem); err != nil || problem.Code != tt.code || problem.Reason == "" {
			p.t.Errorf("%s: got %.200q, want the problem %s with a reason", name, body, tt.code)
		}
	}
}

// randomBytes returns n random bytes, the same for each n in every run.
func randomBytes(n int) []byte {
	r := rand.New(rand.NewPCG(7, uint64(n)))
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(r.Uint32())
	}
	return b
}

// sendGarbage sends malformed data to all TCP ports and to the UDP port. No TCP connection
// may stay open until the client's deadline.
func (p *processPair) sendGarbage() {
	for name, address := range p.ports() {
		for _, b := range [][]byte{randomBytes(100), randomBytes(100_000), []byte("GET / HTTP/9.9\r\n\r\n"), []byte("\r\n\r\n\r\n"), {0x16, 3, 1, 2, 0, 1, 0}} {
			c, err := net.Dial("tcp", address)
			if err != nil {
				p.t.Errorf("%s: %v", name, err)
				continue
			}
			_ = c.SetDeadline(time.Now().Add(10 * time.Second))
			_, _ = c.Write(b)
			_ = c.(*net.TCPConn).CloseWrite()
			if _, err := io.Copy(io.Discard, c); isTimeout(err) {
				p.t.Errorf("%s: connection still open 10 s after %d malformed bytes", name, len(b))
			}
			c.Close()
		}
	}
	c, err := net.Dial("udp", p.peerAddr)
	if err != nil {
		p.t.Fatal(err)
	}
	defer c.Close()
	for i := range 2000 {
		_, _ = c.Write(randomBytes(i))
	}
}

// ports returns the addresses of all TCP listeners by name.
func (p *processPair) ports() map[string]string {
	u, err := url.Parse("http://" + p.platform.awaitLine(p.t, platformLine)[1])
	if err != nil {
		p.t.Fatal(err)
	}
	return map[string]string{"callers": p.callerAddr, "peers": p.peerAddr, "operators": p.operatorAddr, "platform": u.Host}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// checkSlowClients opens connections that send a header a byte at a time. Each port must
// close them by itself; the instance must keep serving meanwhile.
func (p *processPair) checkSlowClients() {
	const each = 40
	var all sync.WaitGroup
	var mu sync.Mutex
	notClosed := map[string]int{}
	for name, address := range p.ports() {
		for range each {
			all.Go(func() {
				if !sendSlowly(address) {
					mu.Lock()
					notClosed[name]++
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(time.Second)
	p.awaitAnswer("beside slow clients")
	all.Wait()
	for name, n := range notClosed {
		p.t.Errorf("%s: %d of %d connections with a slow header were not closed by the server", name, n, each)
	}
}

// sendSlowly sends an endless header a byte at a time for up to 20 s, and reports whether
// the server closed the connection or answered.
func sendSlowly(address string) bool {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	defer c.Close()
	_, _ = io.WriteString(c, "GET /lookup/shop/orders HTTP/1.1\r\nHost: x\r\nSlow: ")
	buf := make([]byte, 1)
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
		if _, err := c.Write([]byte("x")); err != nil {
			return true
		}
		_ = c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		if _, err := c.Read(buf); err == nil || !isTimeout(err) {
			return true
		}
	}
	return false
}

// checkBadCommands runs the program with invalid arguments and documents. The output must
// name each fault, and the exit code must be 2.
func (p *processPair) checkBadCommands() {
	tests := map[string]struct {
		args []string
		want []string // substrings of the output
	}{
		"serve, all wrong": {
			[]string{"serve", "--id", "A B", "--place", "?", "--callers", "x", "--advertise-peers", "y", "--source", "z"},
			[]string{"id", "place", "region", "callers", "advertise peers", "source", "platform"},
		},
		"unknown flag":  {[]string{"serve", "--colour", "red"}, []string{"colour"}},
		"bad platform":  {[]string{"platform", "--writes", "-1"}, []string{"writes"}},
		"bad document":  {[]string{"config", "put", "/places/z", "-", "--address", p.operatorAddr}, []string{"limit"}},
		"no such thing": {[]string{"nothing"}, []string{"nothing"}},
	}
	for name, tt := range tests {
		cmd := exec.Command(binary, tt.args...)
		cmd.Env = append(cmd.Environ(), "FIRLEVER_TOKEN="+token)
		cmd.Stdin = strings.NewReader("region: r\nlimit: many\n")
		out, err := cmd.CombinedOutput()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != 2 {
			p.t.Errorf("%s: got %v, want exit code 2:\n%s", name, err, out)
		}
		for _, part := range tt.want {
			if !strings.Contains(string(out), part) {
				p.t.Errorf("%s: got output %q, want it to contain %q", name, out, part)
			}
		}
	}
}
