package faultlab

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

// ScenarioCrowd is the scenario of callers that exceed limits, stop sending or do not read,
// beside the faults of ScenarioMixed.
const ScenarioCrowd = "crowd"

func init() {
	scenarios[ScenarioCrowd] = func(c *cluster) scenario { return &crowdScenario{mixedScenario: mixedScenario{c}} }
}

const (
	// crowdMemoryMB is the memory of a VM, and crowdMaxFDs the number of its descriptors, of
	// which crowdFileFDs are for files.
	crowdMemoryMB = 144
	crowdMaxFDs   = 1200
	crowdFileFDs  = 200
	// crowdPerNode is the number of a node's callers that misbehave. Each has up to
	// crowdConnections connections at once.
	crowdPerNode     = 6
	crowdConnections = 24
	crowdBodyBytes   = 4 << 20
	crowdBlockBytes  = 64 << 10
	// maxCrowdHold bounds the time for which connections stay open after they were used. Some
	// stay until the process is gone.
	maxCrowdHold = 3 * time.Second
	crowdTimeout = 20 * time.Second
)

// crowdScenario is the scenario ScenarioCrowd.
type crowdScenario struct {
	mixedScenario

	mu sync.Mutex
	// peakKB is the highest memory of a process, and peakFDs the highest number of its open
	// descriptors.
	peakKB, peakFDs int
	connections     int
}

func (s *crowdScenario) settings() string {
	return fmt.Sprintf("[vm]\nmemory_mb = %d\nmax_fds = %d\n", crowdMemoryMB, crowdMaxFDs)
}

func (s *crowdScenario) document(version int) []byte {
	o := platformtest.DefaultDocument(version)
	o.MaxBodyBytes = crowdBodyBytes
	return o.Encode()
}

func (s *crowdScenario) send(ctx context.Context, load *sync.WaitGroup) {
	for i, n := range s.nodes {
		for k := range callersPerNode {
			load.Go(func() {
				s.sendRequests(ctx, n, rand.New(rand.NewPCG(s.seed, uint64(100+i*callersPerNode+k))), fmt.Sprintf("%d-%d-%d", s.seed, i, k))
			})
		}
		for k := range crowdPerNode {
			load.Go(func() {
				s.misbehave(ctx, n, rand.New(rand.NewPCG(s.seed, uint64(5000+i*crowdPerNode+k))), fmt.Sprintf("%d-crowd-%d-%d", s.seed, i, k))
			})
		}
		load.Go(func() { s.sample(ctx, n) })
	}
}

// misbehave opens groups of connections to a node, on each of which the same is sent, until ctx
// ends.
func (s *crowdScenario) misbehave(ctx context.Context, n *node, random *rand.Rand, name string) {
	for round := 0; ctx.Err() == nil; round++ {
		kind := random.IntN(crowdKinds)
		hold := time.Duration(random.Int64N(int64(maxCrowdHold)))
		isUntilGone := random.IntN(4) == 0
		var conns sync.WaitGroup
		for k := range 1 + random.IntN(crowdConnections) {
			id := fmt.Sprintf("%s-%d-%d", name, round, k)
			conns.Go(func() { s.connect(ctx, n, kind, id, hold, isUntilGone) })
		}
		conns.Wait()
		time.Sleep(time.Duration(random.Int64N(int64(maxRequestPause))))
	}
}

const crowdKinds = 10

// connect opens a connection, sends what a caller of the kind sends, and holds the connection.
func (s *crowdScenario) connect(ctx context.Context, n *node, kind int, id string, hold time.Duration, isUntilGone bool) {
	address := n.callerAddress
	if kind == 9 {
		address = n.readyAddress
	}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		time.Sleep(maxRequestPause)
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	s.mu.Lock()
	s.connections++
	s.mu.Unlock()
	_ = conn.SetDeadline(time.Now().Add(crowdTimeout))
	s.write(conn, n, kind, id)
	if isUntilGone {
		_, _ = io.Copy(io.Discard, conn)
		return
	}
	select {
	case <-time.After(hold):
	case <-ctx.Done():
	}
}

func (s *crowdScenario) write(conn net.Conn, n *node, kind int, id string) {
	path := platformtest.RepeatablePath + "x"
	if kind == 7 {
		path = platformtest.StreamPath + "x"
	}
	head := platformtest.BeginHead(path, id, requestTimeout)
	const inChunks = "Transfer-Encoding: chunked\r\n\r\n"
	large := fmt.Sprintf("%x\r\n%s\r\n", crowdBlockBytes, strings.Repeat("x", crowdBlockBytes))
	repeat := func(start, unit string, size int) {
		block := strings.Repeat(unit, 1+crowdBlockBytes/len(unit))
		_, err := io.WriteString(conn, start)
		for sent := 0; err == nil && sent+len(block) <= size; sent += len(block) {
			_, err = io.WriteString(conn, block)
		}
	}
	switch kind {
	case 0:
		repeat(head+inChunks, "1\r\nx\r\n", 5*crowdBodyBytes)
	case 1:
		repeat(head+inChunks, large, crowdBodyBytes)
	case 2:
		repeat(head+fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdBodyBytes), "x", crowdBodyBytes-2*crowdBlockBytes)
	case 3:
		repeat(head+fmt.Sprintf("Content-Length: %d\r\n\r\n", int64(1)<<40), "x", 4*crowdBodyBytes)
	case 4:
		repeat(head+inChunks, large, 4*crowdBodyBytes)
	case 5:
		repeat(head, "a: b\r\n", 2*crowdBlockBytes)
	case 6:
		repeat("", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", crowdBodyBytes)
	case 7:
		// The answer is not read, so that nothing is known of it.
		s.recorder.add(n.name, platformtest.Request{ID: id, Method: http.MethodPost, Path: path, Key: platformtest.Key}, time.Now(), platformtest.Answer{Err: errors.New("not read")})
		repeat(head+"Content-Length: 0\r\n\r\n", "\r\n", 0)
	case 8:
		// Nothing is sent.
	case 9:
		repeat(head+inChunks, large, crowdBodyBytes)
	}
}

// sample observes the process of a node until ctx ends.
func (s *crowdScenario) sample(ctx context.Context, n *node) {
	for ctx.Err() == nil {
		time.Sleep(memorySampleInterval)
		if !n.restarting.TryLock() {
			continue
		}
		n.mu.Lock()
		pid, exited := n.cmd.Process.Pid, n.exited
		n.mu.Unlock()
		select {
		case <-exited:
			s.recorder.addViolation("%s has ended by itself: %v", n.name, n.cmd.ProcessState)
			n.restarting.Unlock()
			return
		default:
		}
		peak, err := n.peakMemoryKB()
		fds, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		n.restarting.Unlock()
		if err != nil {
			continue
		}
		s.mu.Lock()
		s.peakKB, s.peakFDs = max(s.peakKB, peak), max(s.peakFDs, len(fds))
		s.mu.Unlock()
	}
}

func (s *crowdScenario) verify(map[string]exchange) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peakKB > crowdMemoryMB<<10 {
		s.recorder.addViolation("a process used %d KB of memory, its VM has %d MB", s.peakKB, crowdMemoryMB)
	}
	if s.peakFDs > crowdMaxFDs-crowdFileFDs {
		s.recorder.addViolation("a process had %d open descriptors of %d, of which %d are for files", s.peakFDs, crowdMaxFDs, crowdFileFDs)
	}
	return fmt.Sprintf("crowd-connections=%d peak-kb=%d peak-fds=%d ", s.connections, s.peakKB, s.peakFDs)
}
