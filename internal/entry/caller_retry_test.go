package entry

import (
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/protocol/callerapi"
)

// TestCallerRetryAtAnotherNodeAttaches disconnects a caller and repeats its request
// at each other entry VM in turn. The answer must be computed only once.
func TestCallerRetryAtAnotherNodeAttaches(t *testing.T) {
	c := startCluster(t, 3, 2, nil)
	const prompt, want = "how much did we save", 60
	var tokens []string
	for i, n := range c.nodes {
		limit := 10
		if i == len(c.nodes)-1 {
			limit = 0
		}
		r := c.send(n, "key-1", prompt, want, len(tokens), limit, nil)
		tokens = append(tokens, r.tokens...)
		if limit == 0 && !r.complete {
			t.Fatalf("answer is not complete: %+v", r)
		}
	}
	c.checkTokens(prompt, 0, tokens)
	if len(tokens) != want || c.generated() != want {
		t.Fatalf("%d tokens read and %d generated, want the same number of both", len(tokens), c.generated())
	}
	for _, n := range c.nodes {
		if r := c.send(n, "key-1", prompt, want, want-5, 0, nil); !r.complete || len(r.tokens) != 5 {
			t.Fatalf("finished answer is not replayed: %+v", r)
		}
	}
	if c.generated() != want {
		t.Fatalf("%d tokens generated after replays", c.generated())
	}
}

func TestKeyConflictAcrossEntryVMs(t *testing.T) {
	c := startCluster(t, 3, 1, nil)
	if r := c.send(c.nodes[0], "key-1", "one question", 5, 0, 0, nil); !r.complete {
		t.Fatalf("%+v", r)
	}
	for _, n := range c.nodes {
		r := c.send(n, "key-1", "another question", 5, 0, 0, nil)
		if r.err == nil || r.err.Code != callerapi.KeyConflict || r.err.Run != callerapi.NotRun {
			t.Fatalf("%+v", r)
		}
	}
}

// TestOwnerKilledWhileAnswerIsCopied kills the entry VM that runs a request while
// another entry VM copies the answer for a caller retry.
func TestOwnerKilledWhileAnswerIsCopied(t *testing.T) {
	c := startCluster(t, 3, 2, nil)
	const prompt, want = "what did the letter say", 80
	first := c.send(c.nodes[0], "key-1", prompt, want, 0, 5, nil)
	killed := false
	second := c.send(c.nodes[1], "key-1", prompt, want, len(first.tokens), 0, func() {
		if !killed {
			killed = true
			c.cloud.Remove("entry-0")
			go c.nodes[0].Close()
		}
	})
	if !second.complete {
		t.Fatalf("answer is not complete: %d tokens, %+v", len(second.tokens), second.err)
	}
	c.checkTokens(prompt, 0, append(first.tokens, second.tokens...))
	if got := len(first.tokens) + len(second.tokens); got != want {
		t.Fatalf("%d tokens", got)
	}
}

func TestUnreadRequestIsCancelledAndResumed(t *testing.T) {
	c := startCluster(t, 2, 1, nil)
	const prompt, want, more = "what is the interest", 4000, 20
	n := c.nodes[0]
	first := c.send(n, "key-1", prompt, want, 0, 5, nil)
	c.waitFor("the cancellation of the request", func() bool {
		n.cancelUnread(n.clock.Now().Add(time.Hour))
		return n.requests.OpenCount() == 0
	})
	c.waitFor("an idle engine", func() bool { return c.engines[0].Load().Running == 0 })
	if c.generated() >= want {
		t.Fatal("the request was not cancelled before its end")
	}
	rest := c.send(n, "key-1", prompt, want, len(first.tokens), more, nil)
	if len(rest.tokens) < more {
		t.Fatalf("%d more tokens, error %+v", len(rest.tokens), rest.err)
	}
	c.checkTokens(prompt, 0, append(first.tokens, rest.tokens...))
}
