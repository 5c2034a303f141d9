// Package rollout decides how a service moves to targets of a new version: a canary gets a bounded
// share of the requests, and then the new version takes over or is rolled back. It does no input or
// output.
package rollout
