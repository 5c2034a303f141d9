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

// caller sends requests one after the other, and keeps its connection until the
// process at its other end is gone.
type caller struct {
	world *world
	name  string
	rng   *rand.Rand
	conn  net.Conn
	read  *bufio.Reader
	sent  int
	crash bool // it sends the request that ends targets, and nothing else

	workspace *workspace
	keys      *rand.Rand // decides which key it shows
}

// crashEvery is the pause between two requests that end targets.
const crashEvery = 100 * time.Millisecond

// mostWait is the most of a refusal's time that callers wait for.
const mostWait = patience / 3

// patience is how long a caller waits for an answer, as it says in its requests.
const patience = 2 * time.Second

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

// connect asks some instance where to go, and goes to one of those that it names.
func (c *caller) connect(ctx context.Context) bool {
	e := c.world.edges[c.rng.IntN(len(c.world.edges))]
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

// request sends one request and checks its answer.
func (c *caller) request() {
	c.sent++
	id := fmt.Sprintf("%s-%d", c.name, c.sent)
	method, once := "GET", c.rng.IntN(2) == 0 && !c.crash
	if once {
		method = "POST"
	}
	path := "/get/x"
	if once {
		path = "/do/x"
	}
	body, object := fmt.Sprint("b", c.sent), c.rng.IntN(20)
	if c.crash {
		path, body, object = crashPath, "", 0
		time.Sleep(crashEvery)
	}
	account, key := c.workspace, c.workspace.key
	if !c.crash && c.keys.IntN(40) == 0 {
		account, key = nil, unknownKey
	}
	c.world.accounts.sent(id, account)
	c.world.journal.sent(id, once)
	c.conn.SetDeadline(time.Now().Add(patience + time.Second))
	fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nCookie: Affinity-Key=%d\r\nAuthorization: Bearer %s\r\nTenant: pretended\r\nContent-Length: %d\r\n\r\n%s",
		method, path, id, patience.Milliseconds(), object, key, len(body), body)
	if !c.crash && c.rng.IntN(50) == 0 { // leaves with the answer due
		c.hangUp()
		return
	}
	resp, err := http.ReadResponse(c.read, nil)
	if err != nil {
		c.world.journal.answered(id, 0, "")
		c.hangUp()
		return
	}
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		c.world.journal.answered(id, 0, "")
		c.hangUp()
		return
	}
	c.world.accounts.answered(id, resp.StatusCode)
	c.world.wants.toldBy(c.conn.RemoteAddr(), resp.Header)
	c.world.journal.answered(id, resp.StatusCode, wrong(resp, id, string(got), body))
	if resp.Close {
		c.hangUp()
	}
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		time.Sleep(min(time.Duration(seconds*float64(time.Second)), mostWait))
	}
}

// wrong says what is wrong with an answer; "" if nothing is.
func wrong(resp *http.Response, id, got, body string) string {
	want := answerTo(id, []byte(body))
	switch {
	case resp.Header.Get("Request-Id") != id:
		return fmt.Sprintf("got the answer to %q", resp.Header.Get("Request-Id"))
	case resp.StatusCode == 200 && resp.Header.Get("Response-Signature") == "":
		return "got a success without a signature"
	case resp.StatusCode == 200 && got != want:
		return fmt.Sprintf("got %q, want %q", got, want)
	case resp.StatusCode == 503 && resp.Header.Get("Retry-After") == "":
		return "got a refusal that doesn't say when to come back"
	}
	return ""
}
