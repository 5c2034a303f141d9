// Package crash tells which requests end the targets that run them. It does no input or
// output.
package crash
