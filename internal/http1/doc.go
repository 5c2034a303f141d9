// Package http1 carries requests between callers, this instance and targets over
// HTTP/1.1 connections, with the standard library's parser. It reads a caller's
// pipelined requests on while earlier ones are worked on, and answers in order;
// towards targets it says of each failed exchange whether the request can have
// run, and keeps no connection on which anything unexpected was read.
package http1
