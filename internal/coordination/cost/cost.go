// Package cost predicts what a request costs a backend server, as engine work by part and as
// a distribution, and what a server does in a unit of time. Both are learned from what
// answers show; until there are samples, the prior applies.
package cost

import "time"

// Rates are what an ordinary server of a service does in a unit of time. How much slower a
// single server is, is a factor beside them, see Model.Slowdown.
type Rates struct {
	// PrefillTokensPerMilli is the number of prompt tokens computed per millisecond.
	PrefillTokensPerMilli float64
	// Step is the base time of one step of a batch; each running request adds
	// StepPerRequest.
	Step           time.Duration
	StepPerRequest time.Duration
	// CallTime is the usual service time of a call to a plain service.
	CallTime time.Duration
}

// Estimate describes the distribution of a quantity.
type Estimate struct {
	Mean, Median, P90 float64
}

// Request is what is known of a request before it is sent.
type Request struct {
	Service, Route, Workspace string
	// PromptTokens is the number of prompt tokens, 0 for a call to a plain service.
	PromptTokens int
	// HintTokens is the caller's estimate of the answer's length in tokens, 0 if there is
	// none, and MaxAnswerTokens its bound, 0 if there is none.
	HintTokens, MaxAnswerTokens int
}

// Observation is what an answer has shown of a request's cost and of its server. Parts that
// are not known are zero.
type Observation struct {
	Request Request
	// Server is the short hash of the server's ID.
	Server uint32
	// UncachedTokens is the number of prompt tokens that the server was assumed to compute,
	// and MinUncachedTokens that number if all shared parts were cached.
	UncachedTokens, MinUncachedTokens float64
	// PrefillAhead is the number of prompt tokens before this one, and Running the number of
	// requests at the server, when the request was sent.
	PrefillAhead, Running float64
	// FirstToken is the time to the first token, or to the answer of a plain call.
	FirstToken time.Duration
	// AnswerTokens is the number of tokens produced, and AnswerTime the time from the first
	// to the last of them.
	AnswerTokens int
	AnswerTime   time.Duration
	// Complete is true if the answer ended by itself. Otherwise AnswerTokens is a lower bound.
	Complete bool
	// Excluded is true if the time was affected by something other than the server.
	Excluded bool
}

// prior holds the rates of a service without samples.
var prior = Rates{
	PrefillTokensPerMilli: 45,
	Step:                  3 * time.Millisecond,
	StepPerRequest:        120 * time.Microsecond,
	CallTime:              30 * time.Millisecond,
}

// Model learns from observations. It is safe for concurrent use; its lock is a leaf lock.
type Model struct{}

// NewModel returns a model without samples.
func NewModel() *Model { return &Model{} }

// Rates returns the rates of an ordinary server of a service.
func (m *Model) Rates(service string, now time.Time) Rates { return prior }

// Slowdown returns a server's time for the same work over that of an ordinary server of its
// service, 1 if it is not known.
func (m *Model) Slowdown(service string, server uint32, now time.Time) float64 { return 1 }

// AnswerTokens returns the predicted length of a request's answer.
func (m *Model) AnswerTokens(r Request, now time.Time) Estimate {
	tokens := float64(r.HintTokens)
	if tokens <= 0 {
		tokens = float64(r.MaxAnswerTokens)
	}
	return Estimate{Mean: tokens, Median: tokens, P90: tokens}
}

// Observe records what an answer has shown.
func (m *Model) Observe(o Observation, now time.Time) {}

// typicalBatch is the assumed number of answers that share the time of a step.
const typicalBatch = 8

// Work returns the engine time of a request in a batch of typical size, in milliseconds.
func (r Rates) Work(uncachedTokens, answerTokens float64) float64 {
	perToken := Millis(r.Step)/typicalBatch + Millis(r.StepPerRequest)
	return r.PrefillMillis(uncachedTokens) + answerTokens*perToken
}

// PrefillMillis returns the time in which a prompt's tokens are computed, in milliseconds.
func (r Rates) PrefillMillis(tokens float64) float64 { return tokens / r.PrefillTokensPerMilli }

// StepMillis returns the time of one step of a batch, in milliseconds.
func (r Rates) StepMillis(running float64) float64 {
	return Millis(r.Step) + Millis(r.StepPerRequest)*running
}

// Millis returns a duration in milliseconds.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
