package processes

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"

	"coltsfootpath.example/coltsfootpath/internal/caller"
	"coltsfootpath.example/coltsfootpath/internal/protocol/callerapi"
	"coltsfootpath.example/coltsfootpath/internal/standin/engine"
)

// TestSIGTERMInterruptsNoStream sends SIGTERM to an entry VM's process that has
// open streams: each caller must get its complete answer, and the process must
// exit without an error.
func TestSIGTERMInterruptsNoStream(t *testing.T) {
	s := startSystem(t)
	const streams, want = 10, 300
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	client := caller.New(caller.Config{
		Seeds: []string{s.entryAddresses["entry-1"]}, Workspace: "branches", Token: "demo-branches-token", AvailabilityZone: "zone-a",
	})
	defer client.Close()
	var all, started sync.WaitGroup
	started.Add(streams)
	for i := range streams {
		prompt := fmt.Sprintf("stream %d", i)
		first := sync.OnceFunc(started.Done)
		all.Go(func() {
			defer first()
			answer, err := client.GenerateWithCallback(ctx, "assistant", "clerk-questions", prompt,
				callerapi.GenerateRequest{Prompt: prompt, MaxTokens: want}, first)
			if err != nil || len(answer.Tokens) != want {
				t.Errorf("%s: %d tokens, %v", prompt, len(answer.Tokens), err)
			}
			for at, token := range answer.Tokens {
				if token != engine.Token(prompt, at) {
					t.Errorf("%s: token %d is %q", prompt, at, token)
					return
				}
			}
		})
	}
	started.Wait()
	s.signal("entry-1", syscall.SIGTERM)
	all.Wait()
	if err := s.commands["entry-1"].Wait(); err != nil {
		t.Fatalf("drained entry VM: %v", err)
	}
}

// TestStreamContinuesWhenEntryVMFreezes sends SIGSTOP to an entry VM's process
// that serves a stream: the caller must continue at another entry VM.
func TestStreamContinuesWhenEntryVMFreezes(t *testing.T) {
	s := startSystem(t)
	const want = 300
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	client := caller.New(caller.Config{
		Seeds: []string{s.entryAddresses["entry-1"], s.entryAddresses["entry-2"]}, Workspace: "branches", Token: "demo-branches-token", AvailabilityZone: "zone-a",
	})
	defer client.Close()
	freeze := sync.OnceFunc(func() { s.signal("entry-1", syscall.SIGSTOP) })
	answer, err := client.GenerateWithCallback(ctx, "assistant", "clerk-questions", "frozen",
		callerapi.GenerateRequest{Prompt: "frozen", MaxTokens: want}, freeze)
	if err != nil || len(answer.Tokens) != want || answer.Retries == 0 {
		t.Fatalf("%d tokens, %d caller retries, %v", len(answer.Tokens), answer.Retries, err)
	}
	for at, token := range answer.Tokens {
		if token != engine.Token("frozen", at) {
			t.Fatalf("token %d is %q", at, token)
		}
	}
}
