// Package mirror keeps a local replica of the platform's store. It lists the keys once and then
// follows their changes, across lost connections, compacted history, and a store that was restored
// from a snapshot.
package mirror
