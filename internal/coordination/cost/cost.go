// Package cost predicts what a request costs a backend server, as engine work by part and as
// a distribution, and what a server does in a unit of time. Both are learned from what
// answers show; until there are samples, the prior applies.
package cost

import "time"

// Rates are what an ordinary server of a service does in a unit of time. How much slower a
// single server is, is a factor beside them, see Model.Slowdown.
type Rates struct {
	// PrefillTokensPerMilli is the number of prompt tokens computed per millisecond, and
	// QuadraticMillis the additional time of a prompt of 1000 tokens, in milliseconds. It
	// grows with the square of the prompt's length.
	PrefillTokensPerMilli float64
	QuadraticMillis       float64
	// Overhead is the part of the time to the first token that does not depend on the
	// prompts, beyond two steps of the batch.
	Overhead time.Duration
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
	// to the last of them. FirstTokens is the number of tokens that arrived at once at the
	// start of AnswerTime.
	AnswerTokens int
	FirstTokens  int
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

// typicalBatch is the assumed number of answers that share the time of a step.
const typicalBatch = 8

// firstTokenSteps is the number of steps of the batch until the first token of a prompt.
const firstTokenSteps = 2

// work returns the engine time of a request in a batch of typical size, in milliseconds.
func (r Rates) work(uncachedTokens, answerTokens float64) float64 {
	perToken := Millis(r.Step)/typicalBatch + Millis(r.StepPerRequest)
	return r.PrefillMillis(uncachedTokens) + answerTokens*perToken
}

// PrefillMillis returns the time in which the tokens of one prompt are computed, in
// milliseconds.
func (r Rates) PrefillMillis(tokens float64) float64 {
	return r.QueuedPrefillMillis(tokens) + r.QuadraticMillis*square(tokens/1000)
}

// QueuedPrefillMillis returns the time in which the tokens of several prompts of unknown
// lengths are computed, in milliseconds.
func (r Rates) QueuedPrefillMillis(tokens float64) float64 { return tokens / r.PrefillTokensPerMilli }

// FirstTokenMillis returns the time to the first token of a prompt behind others, in
// milliseconds, at a server with free slots.
func (r Rates) FirstTokenMillis(uncachedTokens, tokensAhead, running float64) float64 {
	fixed := max(Millis(r.Overhead)+firstTokenSteps*r.StepMillis(running), 0)
	return fixed + r.QueuedPrefillMillis(tokensAhead) + r.PrefillMillis(uncachedTokens)
}

// StepMillis returns the time of one step of a batch, in milliseconds.
func (r Rates) StepMillis(running float64) float64 {
	return Millis(r.Step) + Millis(r.StepPerRequest)*running
}

// Millis returns a duration in milliseconds.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMillis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func square(x float64) float64 { return x * x }
