// Package processes tests the binaries as separate processes over sockets.
package processes
