// Package placement chooses the backend server of a request among servers whose
// load is known late. It answers three load patterns: long prompts that meet on
// one engine while others idle, prompts that share parts which an engine keeps,
// and many entry VMs that see the same lagging load and would all choose the
// same engine.
package placement

import (
	"math"
	"math/rand/v2"
	"time"
)

// Load is the work on a server that is known of.
type Load struct {
	// Prefill is the number of prompt tokens still to be read.
	Prefill float64
	// Running is the number of requests that are being answered.
	Running float64
	// Memory is the number of tokens that running requests hold.
	Memory float64
}

// Add adds another load.
func (l *Load) Add(o Load) {
	l.Prefill += o.Prefill
	l.Running += o.Running
	l.Memory += o.Memory
}

// Candidate is a server that may take a request.
type Candidate struct {
	// Hash stands for the server on the ring of prefix homes.
	Hash uint64
	Load Load
	// Slots is the number of requests that the server runs at once, and
	// MemoryTokens what its memory holds, 0 where that is no bound.
	Slots        int
	MemoryTokens int
	// Slow is the server's slowdown, 1 for an ordinary one.
	Slow float64
	// Weight is the share of requests that health leaves the server, 0 to 1.
	Weight float64
	// Cached is the number of the prompt's tokens that the server is known to
	// keep.
	Cached float64
	// Near is true for a server in the entry VM's availability zone.
	Near bool
}

// Request is what is to be placed.
type Request struct {
	// Prompt is the number of prompt tokens, 0 for a plain call.
	Prompt int
	Answer int
	// Shared is the number of the prompt's tokens that other requests have in
	// common with it, and Home the hash of these parts, 0 without any.
	Shared int
	Home   uint64
}

// Cost is what work takes on an ordinary engine.
type Cost struct {
	// PrefillPerMilli is the number of prompt tokens read in a millisecond.
	PrefillPerMilli float64
	// Step and StepPerRunning are the time of one step of a batch.
	Step           time.Duration
	StepPerRunning time.Duration
	// CallTime is the usual work of a plain call.
	CallTime time.Duration
}

// DefaultCost is that of an engine as the platform describes them.
var DefaultCost = Cost{
	PrefillPerMilli: 45,
	Step:            3 * time.Millisecond,
	StepPerRunning:  120 * time.Microsecond,
	CallTime:        30 * time.Millisecond,
}

// typicalBatch is the number of answers that share the time of a step.
const typicalBatch = 8

// Work is the engine time of a request in a batch of ordinary size, in
// milliseconds.
func (c Cost) Work(uncached float64, answer int) float64 {
	perToken := milli(c.Step)/typicalBatch + milli(c.StepPerRunning)
	return uncached/c.PrefillPerMilli + float64(answer)*perToken
}

const (
	// homeTrust is the share of the shared tokens that the home of a prefix is
	// taken to keep where this VM has not sent it there itself.
	homeTrust = 0.9
	// rereadWeight multiplies the time of tokens that are read again: they also
	// delay the answers that run beside them, and take the room of others.
	rereadWeight = 2.0
	// farCost is added to a server in another availability zone.
	farCost = 0.5
	// typicalAnswer is the number of tokens of the answers that a request waits
	// for where all slots are taken.
	typicalAnswer = 250
	// memoryShare of an engine's memory may be planned for before prompts are
	// taken to push each other out.
	memoryShare = 0.85
	// memoryCost is added for each full memory beyond it, in milliseconds.
	memoryCost = 2000.0
	// jitter is the largest random part of a score, so that VMs which see the
	// same load do not all choose the same server, in milliseconds.
	jitter = 1.5
)

// Choice is the server chosen.
type Choice struct {
	// Index is -1 where there is none.
	Index int
	// First is the predicted time to the first answer. Least and Most are what it
	// may be on a server of ordinary speed: what it keeps of the prompt is not
	// known for sure.
	First       time.Duration
	Least, Most time.Duration
	// Uncached is the number of prompt tokens that are taken to be read.
	Uncached float64
}

// Choose returns the candidate on which the request is answered soonest and
// delays others the least. Servers on trial get their share alone, and ejected
// ones nothing, as long as there are others: any server is better than none.
func Choose(cost Cost, req Request, list []Candidate, random *rand.Rand) Choice {
	for _, fit := range []func(c *Candidate) bool{
		func(c *Candidate) bool { return c.Weight >= 1 || c.Weight > 0 && random.Float64() < c.Weight },
		func(c *Candidate) bool { return c.Weight > 0 },
		func(*Candidate) bool { return true },
	} {
		if best := least(cost, req, list, fit, random); best.Index >= 0 {
			return best
		}
	}
	return Choice{Index: -1}
}

// least returns the candidate with the lowest score among those that fit.
func least(cost Cost, req Request, list []Candidate, fit func(c *Candidate) bool, random *rand.Rand) Choice {
	home := homeOf(req.Home, list)
	best, lowest := Choice{Index: -1}, math.Inf(1)
	for i := range list {
		c := &list[i]
		if !fit(c) {
			continue
		}
		choice, score := weigh(cost, req, c, i == home)
		score += random.Float64() * jitter
		if score < lowest {
			choice.Index = i
			best, lowest = choice, score
		}
	}
	return best
}

// homeOf returns the server at which a prefix is at home: the highest of the
// hashes of prefix and server together. A server that goes moves only its own.
func homeOf(prefix uint64, list []Candidate) int {
	if prefix == 0 {
		return -1
	}
	home, highest := -1, uint64(0)
	for i := range list {
		if list[i].Weight < 1 {
			continue
		}
		if h := mix(prefix ^ list[i].Hash); home < 0 || h > highest {
			home, highest = i, h
		}
	}
	return home
}

// mix is a finalizer that spreads every bit of x over all of its result.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

func weigh(cost Cost, req Request, c *Candidate, home bool) (Choice, float64) {
	if req.Prompt == 0 {
		return weighCall(cost, c)
	}
	cached := c.Cached
	if home {
		cached = max(cached, homeTrust*float64(req.Shared))
	}
	uncached := max(float64(req.Prompt)-cached, 1)
	step := cost.stepOf(c)
	wait := c.Load.Prefill/cost.PrefillPerMilli + 2*step + cost.slotWait(c)
	first := (wait + uncached/cost.PrefillPerMilli) * max(c.Slow, 1)
	score := first + rereadWeight*uncached/cost.PrefillPerMilli + float64(min(req.Answer, 400))*0.1*step*max(c.Slow, 1)
	if room := memoryShare * float64(c.MemoryTokens); room > 0 {
		if over := c.Load.Memory + float64(req.Prompt+req.Answer) - room; over > 0 {
			score += memoryCost * over / room
		}
	}
	if !c.Near {
		score += farCost
	}
	return Choice{
		First: fromMilli(first), Uncached: uncached,
		Least: fromMilli(wait + max(float64(req.Prompt-req.Shared), 1)/cost.PrefillPerMilli),
		Most:  fromMilli(wait + float64(req.Prompt)/cost.PrefillPerMilli),
	}, score
}

// Ratio compares a measured time with what it may be on a server of ordinary
// speed: 1 where it is within that.
func (c *Choice) Ratio(took time.Duration) float64 {
	switch {
	case c.Least <= 0:
		return 0
	case took < c.Least:
		return float64(took) / float64(c.Least)
	case took > c.Most:
		return float64(took) / float64(c.Most)
	}
	return 1
}

// stepOf is the time of one step of a server's batch, in milliseconds.
func (c Cost) stepOf(s *Candidate) float64 {
	running := s.Load.Running
	if s.Slots > 0 {
		running = min(running, float64(s.Slots))
	}
	return milli(c.Step) + milli(c.StepPerRunning)*running
}

// slotWait is the time until a server has a slot free for one more request, in
// milliseconds: slots become free one after another as answers end.
func (c Cost) slotWait(s *Candidate) float64 {
	over := s.Load.Running + 1 - float64(s.Slots)
	if s.Slots <= 0 || over <= 0 {
		return 0
	}
	return over * typicalAnswer * c.stepOf(s) / float64(s.Slots)
}

func weighCall(cost Cost, c *Candidate) (Choice, float64) {
	slots := float64(max(c.Slots, 1))
	wait := max(c.Load.Running+1-slots, 0) / slots * milli(cost.CallTime)
	busy := c.Load.Running / slots * milli(cost.CallTime) * 0.3
	ordinary := wait + milli(cost.CallTime)
	first := ordinary * max(c.Slow, 1)
	score := first + busy
	if !c.Near {
		score += farCost
	}
	return Choice{First: fromMilli(first), Least: fromMilli(ordinary), Most: fromMilli(ordinary)}, score
}

func milli(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMilli(ms float64) time.Duration {
	return time.Duration(min(ms, 1e9) * float64(time.Millisecond))
}
