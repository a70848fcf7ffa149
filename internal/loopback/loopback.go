// Package loopback finds free loopback addresses for processes that tests start.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// The ports are below the range that the kernel assigns to outgoing connections.
// Otherwise such a connection could take a port before its process listens on it,
// or while the process is down.
const (
	firstPort = 12_000
	lastPort  = 32_000
	portCount = lastPort - firstPort
	// processStride makes processes with neighbouring ids start at distant ports.
	processStride = 1009
)

var portCounter atomic.Uint32

// FreeAddresses returns loopback addresses that no process listens on. Within a
// process, it returns an address again only after it has tried all other ports.
func FreeAddresses(count int) ([]string, error) {
	var out []string
	for attempts := 0; len(out) < count && attempts < portCount; attempts++ {
		n := uint32(os.Getpid()*processStride) + portCounter.Add(1)
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+n%portCount)
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			out = append(out, address)
		}
	}
	if len(out) < count {
		return nil, errors.New("not enough free ports")
	}
	return out, nil
}
