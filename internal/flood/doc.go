// Package flood runs the built program as a real process on loopback, lets many senders send what costs
// it most, and checks that it stays within the memory and the descriptors of its machine. It contains
// only tests, which run one at a time when FIRLEVER_FLOOD is set, as they need the machine for themselves.
package flood
