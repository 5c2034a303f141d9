// Package wire holds the messages between instances and their generated code.
package wire

//go:generate ./generate.sh

// MaxPacket is the largest membership packet, in bytes: it fits one datagram
// on any link that carries IPv6's least MTU.
const MaxPacket = 1200
