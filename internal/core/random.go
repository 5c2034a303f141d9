package core

import "math/rand/v2"

// newKeyRand makes the source of the numbers of idempotency keys.
func newKeyRand(seed [32]byte) *rand.Rand { return rand.New(rand.NewChaCha8(seed)) }
