// Package loopback finds addresses for processes that tests start.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Ports are taken below the range that the kernel gives to outgoing
// connections, so that none of them takes a port before its process does, or
// while it is down.
const (
	firstPort = 12_000
	lastPort  = 32_000
	ports     = lastPort - firstPort
	// stride keeps processes that look beside each other apart.
	stride = 1009
)

var next atomic.Uint32

// FreeAddresses returns loopback addresses that nothing listens on, none twice
// within a process.
func FreeAddresses(count int) ([]string, error) {
	var out []string
	for tried := 0; len(out) < count && tried < ports; tried++ {
		n := uint32(os.Getpid()*stride) + next.Add(1)
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+n%ports)
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			out = append(out, address)
		}
	}
	if len(out) < count {
		return nil, errors.New("no free ports")
	}
	return out, nil
}
