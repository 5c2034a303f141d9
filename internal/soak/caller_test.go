//go:build linux

package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

// caller sends requests one after the other. It keeps its connection until an error occurs, the
// instance closes it, or it abandons a request.
type caller struct {
	cluster  *cluster
	name     string
	rng      *rand.Rand
	conn     net.Conn
	read     *bufio.Reader
	requests int
	poison   bool // sends only the poison request

	workspace *workspace
	keyRNG    *rand.Rand // decides which API key a request carries
}

// crashInterval is the pause before each poison request.
const crashInterval = 100 * time.Millisecond

// maxRetryAfter caps how long a caller waits after a refusal with Retry-After.
const maxRetryAfter = callerTimeout / 3

// callerTimeout is how long a caller waits for an answer, sent as Deadline-Ms in its requests.
const callerTimeout = 2 * time.Second

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if c.conn == nil && !c.connect(ctx) {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		c.request()
		time.Sleep(time.Duration(c.rng.IntN(15)) * time.Millisecond)
	}
	c.hangUp()
}

// connect looks up addresses at a random instance, and connects to a random one of them. It
// returns false if that fails.
func (c *caller) connect(ctx context.Context) bool {
	e := c.cluster.edges[c.rng.IntN(len(c.cluster.edges))]
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet,
		fmt.Sprintf("http://%s/resolve?name=h&region=north&zone=%s", e.address(lookupPort), e.domain), nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(resp.Body).Decode(&answer) != nil || len(answer.Addresses) == 0 {
		return false
	}
	c.conn, err = net.DialTimeout("tcp", answer.Addresses[c.rng.IntN(len(answer.Addresses))], time.Second)
	if err != nil {
		c.conn = nil
		return false
	}
	c.read = bufio.NewReader(c.conn)
	return true
}

func (c *caller) hangUp() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// request sends one request and records its answer. It sometimes uses an unknown API key, or
// disconnects before the answer.
func (c *caller) request() {
	c.requests++
	id := fmt.Sprintf("%s-%d", c.name, c.requests)
	method, atMostOnce := "GET", c.rng.IntN(2) == 0 && !c.poison
	if atMostOnce {
		method = "POST"
	}
	path := "/get/x"
	if atMostOnce {
		path = "/do/x"
	}
	body, affinityKey := fmt.Sprint("b", c.requests), c.rng.IntN(20)
	if c.poison {
		path, body, affinityKey = crashPath, "", 0
		time.Sleep(crashInterval)
	}
	ws, key := c.workspace, c.workspace.key
	if !c.poison && c.keyRNG.IntN(40) == 0 {
		ws, key = nil, unknownKey
	}
	c.cluster.workspaces.recordSent(id, ws)
	c.cluster.journal.recordSent(id, atMostOnce)
	c.conn.SetDeadline(time.Now().Add(callerTimeout + time.Second))
	fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nCookie: Affinity-Key=%d\r\nAuthorization: Bearer %s\r\nTenant: pretended\r\nContent-Length: %d\r\n\r\n%s",
		method, path, id, callerTimeout.Milliseconds(), affinityKey, key, len(body), body)
	if !c.poison && c.rng.IntN(50) == 0 { // disconnects while the request is in flight
		c.hangUp()
		return
	}
	resp, err := http.ReadResponse(c.read, nil)
	if err != nil {
		c.cluster.journal.recordAnswer(id, 0, "")
		c.hangUp()
		return
	}
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		c.cluster.journal.recordAnswer(id, 0, "")
		c.hangUp()
		return
	}
	c.cluster.workspaces.checkAnswer(id, resp.StatusCode)
	c.cluster.notices.recordNotices(c.conn.RemoteAddr(), resp.Header)
	c.cluster.journal.recordAnswer(id, resp.StatusCode, checkAnswer(resp, id, string(answer), body))
	if resp.Close {
		c.hangUp()
	}
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		time.Sleep(min(time.Duration(seconds*float64(time.Second)), maxRetryAfter))
	}
}

// checkAnswer describes the fault of an answer; "" if it has none.
func checkAnswer(resp *http.Response, id, got, body string) string {
	want := answerTo(id, []byte(body))
	switch {
	case resp.Header.Get("Request-Id") != id:
		return fmt.Sprintf("got the answer to %q", resp.Header.Get("Request-Id"))
	case resp.StatusCode == 200 && resp.Header.Get("Response-Signature") == "":
		return "got status 200 without Response-Signature"
	case resp.StatusCode == 200 && got != want:
		return fmt.Sprintf("got %q, want %q", got, want)
	case resp.StatusCode == 503 && resp.Header.Get("Retry-After") == "":
		return "got status 503 without Retry-After"
	}
	return ""
}
