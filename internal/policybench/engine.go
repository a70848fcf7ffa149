package policybench

import (
	"math/rand/v2"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/standin/engine"
	"coltsfootpath.example/coltsfootpath/internal/state/fleet"
	"coltsfootpath.example/coltsfootpath/internal/state/prefix"
)

const (
	loadDelay  = 100 * time.Millisecond
	eventDelay = 100 * time.Millisecond
	model      = "model"
)

// engineCost makes prefill slow enough that recomputed prompts delay every
// sequence of the batch.
var engineCost = engine.CostModel{
	StepBase:        8 * time.Millisecond,
	StepPerSequence: 200 * time.Microsecond,
	PrefillPerToken: 100 * time.Microsecond,
	PrefillChunk:    256,
	Slots:           32,
	CacheBlocks:     1536,
}

type timedLoad struct {
	at   time.Time
	load ports.LoadReport
}

type timedEvent struct {
	visibleAt time.Time
	event     ports.CacheEvent
}

// engineVM simulates a VM that runs one engine.
type engineVM struct {
	vm       fleet.VM
	clock    *virtualClock
	batch    *engine.Batch
	random   *rand.Rand
	attempts map[string]*attempt
	// slowdown is a factor on the duration of each step.
	slowdown       float64
	eventLossRatio float64
	stepping       bool
	stoppedAt      time.Time
	loadHistory    []timedLoad
	cacheEvents    []timedEvent
	prefill        *prefillCounter
}

// prefillCounter counts the tokens that all engines have prefilled.
type prefillCounter struct {
	prefilledTokens  int
	recomputedTokens int
	computedBlocks   map[uint64]bool
}

// add counts the prefill of one prompt. tokens is the length of the prompt, and
// computed is the number of tokens at its end that were not cached. A token counts as
// recomputed if any engine has computed its block before. All computed tokens of a
// retry count as recomputed.
func (c *prefillCounter) add(blocks []uint64, tokens, computed int, isRetry bool) {
	c.prefilledTokens += computed
	if isRetry {
		c.recomputedTokens += computed
		return
	}
	first := (tokens - computed) / prefix.BlockTokens
	for i, b := range blocks {
		if i >= first && c.computedBlocks[b] {
			c.recomputedTokens += prefix.BlockTokens
		}
		c.computedBlocks[b] = true
	}
}

func (e *engineVM) isRunning() bool {
	return e.stoppedAt.IsZero()
}

func (e *engineVM) add(a *attempt, s *engine.Sequence) {
	e.attempts[s.Attempt] = a
	e.batch.Add(s)
	if !e.stepping {
		e.stepping = true
		e.step()
	}
}

func (e *engineVM) cancel(id string) {
	delete(e.attempts, id)
	e.batch.Remove(id)
}

func (e *engineVM) step() {
	if !e.isRunning() || e.batch.Idle() {
		e.stepping = false
		e.recordLoad()
		return
	}
	took, emissions := e.batch.Step()
	e.publish()
	e.clock.after(time.Duration(float64(took)*e.slowdown), func() { e.deliver(emissions) })
}

func (e *engineVM) deliver(emissions []engine.Emission) {
	if !e.isRunning() {
		return
	}
	for _, em := range emissions {
		a := e.attempts[em.Sequence.Attempt]
		if a == nil {
			continue
		}
		if em.Done {
			delete(e.attempts, em.Sequence.Attempt)
		}
		if em.Prefilled > 0 {
			e.prefill.add(a.blocks, len(em.Sequence.InitialTokens), em.Prefilled, a.isRetry)
		}
		a.receiveToken(em)
	}
	e.step()
}

func (e *engineVM) publish() {
	for _, ev := range e.batch.TakeCacheEvents() {
		if e.random.Float64() >= e.eventLossRatio {
			e.cacheEvents = append(e.cacheEvents, timedEvent{visibleAt: e.clock.now.Add(eventDelay), event: ev})
		}
	}
	e.recordLoad()
}

func (e *engineVM) recordLoad() {
	e.loadHistory = append(e.loadHistory, timedLoad{at: e.clock.now, load: e.batch.Load()})
	for len(e.loadHistory) > 1 && e.clock.now.Sub(e.loadHistory[1].at) >= loadDelay {
		e.loadHistory = e.loadHistory[1:]
	}
}

// loadReport returns the load as of loadDelay ago.
func (e *engineVM) loadReport() ports.LoadReport {
	r := ports.LoadReport{Slots: engineCost.Slots, At: e.clock.now.Add(-loadDelay)}
	for _, l := range e.loadHistory {
		if e.clock.now.Sub(l.at) < loadDelay {
			break
		}
		r = l.load
		r.At = e.clock.now.Add(-loadDelay)
	}
	r.Models = []string{model}
	return r
}

// eventsFrom returns the visible cache events whose sequence number is at least
// from.
func (e *engineVM) eventsFrom(from uint64) []ports.CacheEvent {
	var out []ports.CacheEvent
	for _, t := range e.cacheEvents {
		if t.event.Sequence >= from && !t.visibleAt.After(e.clock.now) {
			out = append(out, t.event)
		}
	}
	return out
}

// trimEvents removes the events that became visible before the given time, which
// must be early enough for every entry node to have read them.
func (e *engineVM) trimEvents(before time.Time) {
	i := 0
	for i < len(e.cacheEvents) && e.cacheEvents[i].visibleAt.Before(before) {
		i++
	}
	e.cacheEvents = e.cacheEvents[i:]
}

// stop stops the engine and returns its interrupted attempts in no particular
// order.
func (e *engineVM) stop() []*attempt {
	e.stoppedAt = e.clock.now
	var interrupted []*attempt
	for _, a := range e.attempts {
		interrupted = append(interrupted, a)
	}
	e.attempts = map[string]*attempt{}
	return interrupted
}
