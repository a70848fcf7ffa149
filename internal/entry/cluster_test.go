package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/caller"
	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/protocol/callerapi"
	"coltsfootpath.example/coltsfootpath/internal/standin/cloud"
	"coltsfootpath.example/coltsfootpath/internal/standin/engine"
	"coltsfootpath.example/coltsfootpath/internal/standin/logservice"
	"coltsfootpath.example/coltsfootpath/internal/state/control"
	"coltsfootpath.example/coltsfootpath/internal/transport/httpclient"
	"coltsfootpath.example/coltsfootpath/internal/transport/httpserver"
)

// testTimeout stops a test that hangs. It doesn't affect results otherwise.
const testTimeout = 60 * time.Second

// cluster runs entry nodes and engines over real sockets.
type cluster struct {
	t         *testing.T
	ctx       context.Context
	cloud     *cloud.Cloud
	nodes     []*Node
	engines   []*engine.Engine
	engineIDs []string
	log       *logservice.Log
}

func zoneOf(i int) string { return fmt.Sprintf("zone-%c", 'a'+i%3) }

// startCluster starts entry nodes and engines, spread over three availability
// zones, and waits until every node lists all of them.
func startCluster(t *testing.T, entries, engines int, change func(*Settings)) *cluster {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	c := &cluster{t: t, ctx: ctx, log: logservice.New(logservice.Config{})}
	c.cloud = cloud.New(cloud.Config{OnReclaim: c.closeReclaimed})
	for i := range engines {
		c.addEngine(i)
	}
	record, err := control.Encode(control.Record{
		Writer:   control.WriterID{Incarnation: "test", Sequence: 1},
		Document: &control.DocumentSubmission{Document: testDocument()},
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.log.Append(ctx, control.Stream, [][]byte{record}); err != nil {
		t.Fatal(err)
	}
	for i := range entries {
		c.addEntry(i, change)
	}
	c.waitFor("members", func() bool {
		return !slices.ContainsFunc(c.nodes, func(n *Node) bool {
			return len(*n.entryVMs.Load()) != entries || !c.hasEngineLoads(n)
		})
	})
	return c
}

func (c *cluster) hasEngineLoads(n *Node) bool {
	known := 0
	for _, s := range n.backends.View().Servers {
		if load, _ := s.Load(); len(load.Models) > 0 {
			known++
		}
	}
	return known == len(c.engines)
}

func (c *cluster) addEngine(i int) {
	c.t.Helper()
	id := fmt.Sprintf("engine-%d", i)
	serving := make(chan *httpserver.Server, 1)
	e := engine.New(engine.Config{Models: []string{"m"}, Seed: uint64(i), OnCrash: func() {
		c.cloud.Remove(id)
		(<-serving).Close()
	}})
	server, err := httpserver.Start(httpserver.Config{Name: id, Address: "127.0.0.1:0", Handler: engine.NewServer(e).Handler()})
	if err != nil {
		c.t.Fatal(err)
	}
	serving <- server
	c.t.Cleanup(func() { e.Stop(); server.Close() })
	c.engines = append(c.engines, e)
	c.engineIDs = append(c.engineIDs, id)
	c.cloud.Add(ports.VM{ID: id, AvailabilityZone: zoneOf(i), Role: ports.EngineRole, Reclaimable: true, Address: server.Address()})
}

func (c *cluster) addEntry(i int, change func(*Settings)) {
	c.t.Helper()
	var settings Settings
	settings.Schema()
	settings.VM, settings.AvailabilityZone = fmt.Sprintf("entry-%d", i), zoneOf(i)
	settings.Listen, settings.PeerListen, settings.MetricsListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	settings.Workers, settings.AddressTTL = 64, time.Second
	settings.VMListInterval, settings.LoadInterval = 50*time.Millisecond, 20*time.Millisecond
	if change != nil {
		change(&settings)
	}
	client := httpclient.New()
	n, err := Start(settings, Dependencies{
		Log: c.log, Cloud: c.cloud, Engine: httpclient.NewEngine(client),
		Service: httpclient.NewPlainService(client), Clock: ports.SystemClock{},
	})
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(n.Close)
	if err := n.controlFollower.WaitFor(c.ctx, 1); err != nil {
		c.t.Fatal(err)
	}
	c.nodes = append(c.nodes, n)
	c.cloud.Add(ports.VM{ID: settings.VM, AvailabilityZone: settings.AvailabilityZone, Role: ports.EntryRole,
		Reclaimable: true, Address: n.CallerAddress(), PeerAddress: n.PeerAddress()})
}

// closeReclaimed closes the node of a VM that the cloud has reclaimed, without
// a drain.
func (c *cluster) closeReclaimed(vm ports.VM) {
	for _, n := range c.nodes {
		if n.settings.VM == vm.ID {
			n.Close()
		}
	}
}

// caller returns a client that retries and follows moved requests.
func (c *cluster) caller() *caller.Client {
	var seeds []string
	for _, n := range c.nodes {
		seeds = append(seeds, n.CallerAddress())
	}
	client := caller.New(caller.Config{Seeds: seeds, Workspace: "branches", Token: testToken, AvailabilityZone: zoneOf(0)})
	c.t.Cleanup(client.Close)
	return client
}

const pollInterval = 5 * time.Millisecond

// waitFor waits until the condition holds, and fails the test at its timeout.
func (c *cluster) waitFor(what string, holds func() bool) {
	c.t.Helper()
	for !holds() {
		select {
		case <-time.After(pollInterval):
		case <-c.ctx.Done():
			c.t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// reply holds the events that one request received.
type reply struct {
	tokens   []string
	complete bool
	moved    *callerapi.MovedFrame
	err      *callerapi.Error
}

var errStopReading = errors.New("stop reading")

// send sends one request to one node and reads up to limit tokens, all if limit
// is 0. It calls onToken, if not nil, after each frame of tokens.
func (c *cluster) send(n *Node, key, prompt string, maxTokens, from, limit int, onToken func()) reply {
	c.t.Helper()
	body, err := json.Marshal(callerapi.GenerateRequest{Prompt: prompt, MaxTokens: maxTokens, FromOffset: from})
	if err != nil {
		c.t.Error(err)
	}
	req, err := http.NewRequestWithContext(c.ctx, http.MethodPost, "http://"+n.CallerAddress()+"/v1/services/assistant/routes/ask", strings.NewReader(string(body)))
	if err != nil {
		c.t.Error(err)
	}
	req.Header.Set(callerapi.WorkspaceHeader, "branches")
	req.Header.Set("Authorization", "Bearer "+testToken)
	req.Header.Set(callerapi.IdempotencyKeyHeader, key)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return reply{}
	}
	defer resp.Body.Close()
	var out reply
	if resp.StatusCode != http.StatusOK {
		var answer callerapi.ErrorAnswer
		if json.NewDecoder(resp.Body).Decode(&answer) == nil {
			out.err = &answer.Error
		}
		return out
	}
	_ = httpclient.ReadEvents(resp.Body, func(ev httpclient.Event) error {
		switch ev.Type {
		case callerapi.TokensEvent:
			var f callerapi.TokensFrame
			if err := json.Unmarshal(ev.Data, &f); err != nil || f.Offset != from+len(out.tokens) {
				c.t.Errorf("frame %s does not follow %d tokens from offset %d", ev.Data, len(out.tokens), from)
			}
			out.tokens = append(out.tokens, f.Tokens...)
			if onToken != nil {
				onToken()
			}
			if limit > 0 && len(out.tokens) >= limit {
				return errStopReading
			}
		case callerapi.EndEvent:
			out.complete = true
		case callerapi.MovedEvent:
			out.moved = &callerapi.MovedFrame{}
			return json.Unmarshal(ev.Data, out.moved)
		case callerapi.ErrorEvent:
			out.err = &callerapi.Error{}
			return json.Unmarshal(ev.Data, out.err)
		}
		return nil
	})
	return out
}

// checkTokens compares tokens with the engines' output for the prompt, starting
// at the offset from.
func (c *cluster) checkTokens(prompt string, from int, tokens []string) {
	c.t.Helper()
	for i, token := range tokens {
		if want := engine.Token(prompt, from+i); token != want {
			c.t.Fatalf("token %d of %q is %q, want %q", from+i, prompt, token, want)
		}
	}
}

// generated returns the total number of tokens that the engines have generated.
func (c *cluster) generated() int {
	sum := 0
	for _, e := range c.engines {
		sum += e.Work().Generated
	}
	return sum
}
