package core

import "math/rand/v2"

// newKeyRand returns the random source for idempotency keys.
func newKeyRand(seed [32]byte) *rand.Rand { return rand.New(rand.NewChaCha8(seed)) }
