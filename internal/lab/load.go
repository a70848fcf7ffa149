package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/caller"
	"coltsfootpath.example/coltsfootpath/internal/protocol/callerapi"
	"coltsfootpath.example/coltsfootpath/internal/standin/engine"
)

// Outcome classifies the result of one request as its caller observed it.
type Outcome int

// Outcomes of requests. Lost, Truncated and Mixed violate a guarantee.
const (
	// Served means that the answer was complete.
	Served Outcome = iota
	// RejectedNotRun means that the request was rejected as "not run".
	RejectedNotRun
	// Unknown means that, according to the final answer, the call may have run.
	Unknown
	// Lost means that an accepted request got no final answer.
	Lost
	// Truncated means that the answer ended early but was marked complete.
	Truncated
	// Mixed means that the answer held tokens of another request or tokens in
	// the wrong order.
	Mixed
)

// Result is the result of one request as its caller observed it.
type Result struct {
	Outcome Outcome
	IsModel bool
	Key     string
	Retries int
	Timing  caller.Timing
	Err     error
}

const (
	requestTimeout    = 12 * time.Second
	sharedPrefixWords = 96
)

// requestSpec describes one request to send.
type requestSpec struct {
	index     int
	workspace string
	route     string
	prompt    string
	maxTokens int
	isDeposit bool
}

// drawRequests draws requests: 2 in 10 are summaries with long prompts, 4
// clerks' questions, 2 letter tags, and 2 deposits.
func drawRequests(count int, random *rand.Rand) []requestSpec {
	specs := make([]requestSpec, count)
	for i := range specs {
		p := requestSpec{index: i, workspace: workspaceNames[drawWorkspace(random)]}
		switch n := random.IntN(10); {
		case n < 2:
			p.route, p.prompt, p.maxTokens = routeSummaries, promptText(random, 40, 400), 60+random.IntN(60)
		case n < 6:
			p.route, p.prompt, p.maxTokens = routeClerk, promptText(random, 8, 30), 10+random.IntN(30)
		case n < 8:
			p.route, p.prompt, p.maxTokens = routeTags, promptText(random, 4, 60), 4+random.IntN(6)
		default:
			p.route, p.isDeposit = routeDeposit, true
		}
		specs[i] = p
	}
	return specs
}

// drawWorkspace draws a workspace's index. Lower indexes are more likely.
func drawWorkspace(random *rand.Rand) int {
	return min(random.IntN(len(workspaceNames)), random.IntN(len(workspaceNames)))
}

// promptText draws a prompt: one of the given number of shared prefixes, then
// between half and one and a half times ownWords random words.
func promptText(random *rand.Rand, prefixes, ownWords int) string {
	words := make([]string, 0, sharedPrefixWords+ownWords)
	chosen := random.IntN(prefixes)
	for i := range sharedPrefixWords {
		words = append(words, fmt.Sprintf("k%d-%d", chosen, i))
	}
	for range ownWords/2 + random.IntN(ownWords) {
		words = append(words, fmt.Sprintf("w%d", random.IntN(100_000)))
	}
	return strings.Join(words, " ")
}

// LoadGenerator sends requests concurrently, with one client per workspace, and
// collects the results.
type LoadGenerator struct {
	clients map[string]*caller.Client
	results []Result
	// mu guards results.
	mu sync.Mutex
}

// NewLoadGenerator returns a generator that sends to the entry VMs at the seed
// addresses.
func NewLoadGenerator(seeds []string) *LoadGenerator {
	l := &LoadGenerator{clients: map[string]*caller.Client{}}
	for i, name := range workspaceNames {
		l.clients[name] = caller.New(caller.Config{
			Seeds: seeds, Workspace: name, Token: workspaceToken(name), AvailabilityZone: zoneName(i % 4),
		})
	}
	return l
}

// Run sends the requests at even intervals over the given duration, and waits for
// all results.
func (l *LoadGenerator) Run(ctx context.Context, specs []requestSpec, duration time.Duration) {
	var pending sync.WaitGroup
	startedAt := time.Now()
	for i, p := range specs {
		due := startedAt.Add(duration * time.Duration(i) / time.Duration(len(specs)))
		if wait := time.Until(due); wait > 0 {
			time.Sleep(wait)
		}
		pending.Go(func() { l.record(l.send(ctx, p)) })
	}
	pending.Wait()
}

// Close closes the clients' connections.
func (l *LoadGenerator) Close() {
	for _, c := range l.clients {
		c.Close()
	}
}

// Results returns a copy of the results so far.
func (l *LoadGenerator) Results() []Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Result(nil), l.results...)
}

func (l *LoadGenerator) record(r Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, r)
}

func (l *LoadGenerator) send(ctx context.Context, p requestSpec) Result {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	key := fmt.Sprintf("lab-%06d", p.index)
	if p.isDeposit {
		return l.sendDeposit(ctx, p, key)
	}
	client := l.clients[p.workspace]
	answer, err := client.Generate(ctx, assistantService, p.route, key, callerapi.GenerateRequest{
		Prompt: p.prompt, MaxTokens: p.maxTokens, DeadlineMillis: int(requestTimeout.Milliseconds()),
	})
	r := Result{IsModel: true, Key: key, Retries: answer.Retries, Timing: answer.Timing, Err: err}
	if err != nil {
		r.Outcome = outcomeOf(err)
		return r
	}
	r.Outcome = checkAnswer(p, answer.Tokens)
	return r
}

// checkAnswer compares an answer's tokens with those that engines generate for
// the prompt.
func checkAnswer(p requestSpec, tokens []string) Outcome {
	for i, t := range tokens {
		if i >= p.maxTokens || t != engine.Token(p.prompt, i) {
			return Mixed
		}
	}
	if len(tokens) != p.maxTokens {
		return Truncated
	}
	return Served
}

func outcomeOf(err error) Outcome {
	var rejection *callerapi.Error
	if !errors.As(err, &rejection) {
		return Lost
	}
	switch rejection.Run {
	case callerapi.NotRun:
		return RejectedNotRun
	case callerapi.RunUnknown:
		if rejection.Code == callerapi.OutcomeUnknown {
			return Unknown
		}
	}
	return Lost
}

type depositBody struct {
	Account string `json:"account"`
	Cents   int    `json:"cents"`
}

func (l *LoadGenerator) sendDeposit(ctx context.Context, p requestSpec, key string) Result {
	body := depositBody{Account: fmt.Sprintf("child-%04d", p.index), Cents: 100 + p.index}
	_, retries, err := l.clients[p.workspace].Call(ctx, ledgerService, p.route, key, body)
	r := Result{Key: key, Retries: retries, Err: err}
	if err != nil {
		r.Outcome = outcomeOf(err)
	}
	return r
}
