// Package http1 implements an HTTP/1.1 server for callers and a connection pool for
// targets, with the standard library's parser. The server handles the pipelined
// requests of a connection concurrently and answers in order. The pool reports for
// each failed exchange whether the request can have run, and doesn't reuse a
// connection on which unexpected data was read.
package http1
