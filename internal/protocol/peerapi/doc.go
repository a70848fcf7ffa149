// Package peerapi holds the generated messages and drpc stubs of the protocol
// between the system's own processes. Regenerate with tools/generate.sh after
// a change of peer.proto; neither the build nor CI calls the generators.
package peerapi
