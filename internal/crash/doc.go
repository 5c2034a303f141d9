// Package crash finds the poison requests, which crash the targets that run them, from the
// reports of all instances about crashed targets. It does no input or output and reads no clock:
// reports are removed when the part that stores them for all instances removes them.
package crash
