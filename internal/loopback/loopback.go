// Package loopback provides loopback addresses and listeners for tests.
package loopback

import (
	"fmt"
	"io"
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

// Serve sends the same bytes on each connection, once something was received on it, and
// closes it.
func Serve(answer string) (address string, stop func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, errors.Wrap(err, "listen")
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 4096))
			_, _ = io.WriteString(c, answer)
			_ = c.Close()
		}
	}()
	return l.Addr().String(), func() { _ = l.Close() }, nil
}
