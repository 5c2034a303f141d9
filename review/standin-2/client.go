//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// outcome is what a client saw of one request.
type outcome struct {
	id     string
	sent   time.Time // when its last byte was sent
	at     time.Time // of the end of the answer, or of the connection
	status int       // 0: the connection ended without a complete answer
	signed bool
	err    error
}

// client is a client's kept connection to a machine.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

func connect(address string) (*client, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: c, reader: bufio.NewReader(c)}, nil
}

// head returns the head of a request.
func head(method, path, id string, deadline time.Duration, fields string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n%s\r\n", method, path, host, id, deadline.Milliseconds(), fields)
}

// post sends a request with a body of a length and reads the answer.
func (c *client) post(path, id string, deadline time.Duration, body []byte) outcome {
	o := outcome{id: id}
	c.conn.SetDeadline(time.Now().Add(deadline + time.Second))
	request := bytes.NewBufferString(head(http.MethodPost, path, id, deadline, fmt.Sprintf("Content-Length: %d\r\n", len(body))))
	request.Write(body)
	if _, o.err = c.conn.Write(request.Bytes()); o.err != nil {
		o.at = time.Now()
		return o
	}
	o.sent = time.Now()
	return c.read(http.MethodPost, o)
}

// read reads an answer.
func (c *client) read(method string, o outcome) outcome {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	o.at, o.err = time.Now(), err
	if err == nil {
		o.status, o.signed = resp.StatusCode, resp.Header.Get("Response-Signature") != ""
	}
	note("client got %d for %s, signed %t, err %v", o.status, o.id, o.signed, o.err)
	return o
}
