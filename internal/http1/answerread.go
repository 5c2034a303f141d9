package http1

import (
	"bytes"
	"io"
	"net/http"
)

// readFinal reads the head of an answer and skips interim (1xx) ones.
func readFinal(c *poolConn, request *http.Request) (*http.Response, error) {
	return readHead(c, request, func(status int) bool { return status >= http.StatusOK })
}

// readHead reads heads of answers until one has a status that is wanted, and takes what that one holds from
// the budget.
func readHead(c *poolConn, request *http.Request, wanted func(status int) bool) (*http.Response, error) {
	received, _ := c.reader.Peek(c.reader.Buffered())
	c.limited.remaining = maxAnswerHead
	c.limited.head.begin(c.budget.takeReserved, received)
	defer func() { c.limited.remaining = unlimited }()
	for {
		received, _ := c.reader.Peek(c.reader.Buffered())
		c.limited.scan.begin(received)
		in, err := http.ReadResponse(c.reader, request)
		switch {
		case err != nil:
			c.budget.release(c.limited.head.end())
			return nil, c.headError(err)
		}
		if err := c.checkAnswer(in); err != nil {
			c.budget.release(c.limited.head.end())
			return nil, err
		}
		if wanted(in.StatusCode) {
			return in, c.keepHead(in)
		}
	}
}

// checkAnswer returns a *MalformedError if the head of an answer isn't valid. No request of a pool asks for another
// protocol.
func (c *poolConn) checkAnswer(in *http.Response) error {
	if in.StatusCode == http.StatusSwitchingProtocols {
		return &MalformedError{What: "status", Value: in.Status}
	}
	if err := c.limited.scan.check(in.ProtoMinor); err != nil {
		return err
	}
	return CheckResponse(in)
}

// headError returns the error for a head that could not be read.
func (c *poolConn) headError(err error) error {
	switch {
	case c.limited.head.full:
		return &NoMemoryError{Bytes: c.limited.head.size}
	case c.limited.remaining <= 0:
		return &EndlessError{Limit: maxAnswerHead}
	}
	return err
}

// answerCopies is how often an answer's head is held: parsed, and as it is sent to the caller.
const answerCopies = 2

// keepHead takes from the budget what a head holds that was read.
func (c *poolConn) keepHead(in *http.Response) error {
	taken := c.limited.head.end()
	needed := max(0, answerCopies*headBytes(len(in.Status), in.Header)-ordinaryHead)
	if !c.budget.takeReserved(needed - taken) {
		c.budget.release(taken)
		return &NoMemoryError{Bytes: needed}
	}
	c.headTaken += needed
	return nil
}

// dropHead gives back what a head took that no response holds. It is called before another exchange may use the
// connection.
func (c *poolConn) dropHead() {
	c.budget.release(c.headTaken)
	c.headTaken = 0
}

// readBody reads the body of an answer, or the beginning of one that is longer than maxBuffered or
// than the budget allows.
func readBody(in *http.Response, budget *Budget) (*Response, error) {
	most := int64(maxBuffered)
	if in.ContentLength >= 0 {
		most = min(most, in.ContentLength)
	}
	most = takeForBody(budget, most)
	body := bytes.NewBuffer(make([]byte, 0, min(max(0, in.ContentLength), most)+bytes.MinRead))
	n, err := io.Copy(body, io.LimitReader(in.Body, most))
	if err != nil {
		budget.release(most)
		return nil, err
	}
	budget.release(most - n)
	resp := &Response{Status: in.StatusCode, Header: in.Header, Body: body.Bytes(), budget: budget, taken: n}
	if n == most && n != in.ContentLength {
		resp.Rest, resp.BodyLength = in.Body, in.ContentLength
	}
	removeConnectionHeaders(resp.Header)
	return resp, nil
}

// takeForBody takes n bytes from a budget for a body, or fewer if there is no room, and returns how many.
func takeForBody(budget *Budget, n int64) int64 {
	if budget.take(n) {
		return n
	}
	if n = min(n, minBuffered); budget.takeReserved(n) {
		return n
	}
	return 0
}
