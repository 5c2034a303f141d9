// Package mirror keeps a copy of the platform's store: it lists the keys once and
// then follows their changes, past lost connections, forgotten history, and a store that
// comes back from a copy of its own.
package mirror
