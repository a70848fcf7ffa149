package cost

import (
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// ratesHalfLife, slowdownHalfLife and lengthHalfLife are the times in which the weight of
	// a sample of a service's rates, of a server's slowdown and of the length of answers
	// falls to one half.
	ratesHalfLife    = 60 * time.Second
	slowdownHalfLife = 30 * time.Second
	lengthHalfLife   = 60 * time.Second

	// slowdownPriorWeight is the number of samples that a server's own count as much as the
	// assumption that it is an ordinary one.
	slowdownPriorWeight = 3.0
	// MinSlowdown and MaxSlowdown bound the slowdown of a server.
	MinSlowdown = 0.4
	MaxSlowdown = 8.0

	// maxServices, maxServers and maxLengths bound what a model holds. Beyond that the prior
	// applies.
	maxServices = 256
	maxServers  = 8192
	maxLengths  = 8192
)

// Coefficients of the two regressions of a service. A prefill's features are 1, the thousands
// of tokens to compute, and the square of those of the request's own; those of a step are 1 and
// the number of running requests.
var (
	prefillPriors = [features]coefficient{
		{mean: 0, deviation: 20, min: -10, max: 1000},
		{mean: 1000 / prior.PrefillTokensPerMilli, deviation: 20, min: 1, max: 2000},
		{mean: 0, deviation: 0.1, min: 0, max: 100},
	}
	stepPriors = [features]coefficient{
		{mean: Millis(prior.Step), deviation: 3, min: 0.1, max: 1000},
		{mean: Millis(prior.StepPerRequest), deviation: 0.1, min: 0, max: 100},
		{},
	}
)

// Model learns from observations. It is safe for concurrent use; its lock is a leaf lock.
type Model struct {
	// isFixed is set if the model keeps to its prior.
	isFixed  atomic.Bool
	mu       sync.Mutex
	services map[string]*service
	servers  map[uint32]*serverSpeed
	lengths  map[lengthKey]*answerLength
	// pending holds the samples of servers' speeds that have not been sent to peers yet.
	pending map[uint32]SpeedSamples
}

// service is what is known of a service.
type service struct {
	prefill, step *regression
	calls         map[string]*logAverage
	allCalls      logAverage
	// logRatio is the ratio of measured times to those of an ordinary server, over all
	// servers of the service. Until the rates fit, it is far from 1.
	logRatio logAverage
}

// serverSpeed is what is known of the speed of a server.
type serverSpeed struct {
	// service is nil until it is known.
	service  *service
	logRatio logAverage
	// factor is the slowdown as of factorAt.
	factor   float64
	factorAt time.Time
}

// slowdownTTL is the time for which a computed slowdown is used.
const slowdownTTL = 250 * time.Millisecond

// NewModel returns a model without samples.
func NewModel() *Model {
	return &Model{
		services: map[string]*service{},
		servers:  map[uint32]*serverSpeed{},
		lengths:  map[lengthKey]*answerLength{},
		pending:  map[uint32]SpeedSamples{},
	}
}

// SetLearning determines whether the model learns. If not, it keeps to the prior.
func (m *Model) SetLearning(learns bool) { m.isFixed.Store(!learns) }

// Learns reports whether the model learns.
func (m *Model) Learns() bool { return !m.isFixed.Load() }

// Forget forgets what is known of a server, whose process or software has changed.
func (m *Model) Forget(server uint32) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.servers, server)
	delete(m.pending, server)
}

// Retain forgets the servers for which keep returns false.
func (m *Model) Retain(keep func(server uint32) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for server := range m.servers {
		if !keep(server) {
			delete(m.servers, server)
			delete(m.pending, server)
		}
	}
}

// Services returns the names of the services with samples.
func (m *Model) Services() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.services))
}

// serviceOf returns the state of a service, nil if there are too many. The caller must hold
// the lock.
func (m *Model) serviceOf(name string) *service {
	s, ok := m.services[name]
	if !ok {
		if len(m.services) >= maxServices {
			return nil
		}
		s = &service{prefill: newRegression(ratesHalfLife, prefillPriors), step: newRegression(ratesHalfLife, stepPriors), calls: map[string]*logAverage{}}
		m.services[name] = s
	}
	return s
}

// Rates returns the rates of an ordinary server of a service.
func (m *Model) Rates(name string, now time.Time) Rates {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.services[name]
	if !ok || m.isFixed.Load() {
		return prior
	}
	return s.rates(now)
}

// Work returns the engine time of a request of a service in a batch of typical size, in
// milliseconds. The times between tokens that answers show contain the prompts of other
// requests, which count as the work of those; so a step takes what the prior states.
func (m *Model) Work(name string, uncachedTokens, answerTokens float64, now time.Time) float64 {
	r := m.Rates(name, now)
	r.Step, r.StepPerRequest = prior.Step, prior.StepPerRequest
	return r.work(uncachedTokens, answerTokens)
}

// RatesOfRoute returns the rates of an ordinary server of a service for requests of a route.
func (m *Model) RatesOfRoute(name, route string, now time.Time) Rates {
	r := m.Rates(name, now)
	r.CallTime = fromMillis(m.CallTime(Request{Service: name, Route: route}, now).Median)
	return r
}

func (s *service) rates(now time.Time) Rates {
	prefill, step := s.prefill.coefficients(now), s.step.coefficients(now)
	return Rates{
		PrefillTokensPerMilli: 1000 / prefill[1],
		QuadraticMillis:       prefill[2],
		Overhead:              fromMillis(prefill[0]),
		Step:                  fromMillis(step[0]),
		StepPerRequest:        fromMillis(step[1]),
		CallTime:              fromMillis(callEstimate(&s.allCalls, math.Log(Millis(prior.CallTime))).Median),
	}
}

// Slowdown returns a server's time for the same work over that of an ordinary server of its
// service, 1 if it is not known.
func (m *Model) Slowdown(name string, server uint32, now time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.servers[server]
	if !ok || m.isFixed.Load() {
		return 1
	}
	if s.service == nil {
		s.service = m.serviceOf(name)
	}
	return s.slowdown(now)
}

func (s *serverSpeed) slowdown(now time.Time) float64 {
	if now.Sub(s.factorAt) < slowdownTTL {
		return s.factor
	}
	usual := 0.0
	if s.service != nil {
		usual = s.service.logRatio.mean(0, slowdownPriorWeight)
	}
	s.logRatio.forget(now, slowdownHalfLife)
	s.factor, s.factorAt = min(max(math.Exp(s.logRatio.mean(usual, slowdownPriorWeight)-usual), MinSlowdown), MaxSlowdown), now
	return s.factor
}

// CallTime returns the service time, in milliseconds, of a call to a plain service on an
// ordinary server.
func (m *Model) CallTime(r Request, now time.Time) Estimate {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.services[r.Service]
	if !ok || m.isFixed.Load() {
		ms := Millis(prior.CallTime)
		return Estimate{Mean: ms, Median: ms, P90: ms}
	}
	ofService := s.allCalls.mean(math.Log(Millis(prior.CallTime)), callPriorWeight)
	if ofRoute, ok := s.calls[r.Route]; ok {
		return callEstimate(ofRoute, ofService)
	}
	return callEstimate(&s.allCalls, math.Log(Millis(prior.CallTime)))
}

// callPriorWeight is the number of samples that the level above counts as much as.
const callPriorWeight = 3.0

func callEstimate(a *logAverage, priorLog float64) Estimate {
	return logNormal(a.mean(priorLog, callPriorWeight), a.deviation())
}

// Observe records what an answer has shown.
func (m *Model) Observe(o Observation, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isFixed.Load() {
		return
	}
	if o.Request.PromptTokens > 0 && o.AnswerTokens > 0 {
		m.observeLength(&o, now)
	}
	s := m.serviceOf(o.Request.Service)
	if s == nil || o.Excluded {
		return
	}
	switch {
	case o.FirstToken <= 0:
	case o.Request.PromptTokens > 0:
		m.observePrefill(s, &o, now)
		m.observeSteps(s, &o, now)
	case o.Complete:
		m.observeCall(s, &o, now)
	}
}

// cacheDoubt is the share of the uncertain tokens that a prompt's computed tokens are assumed to
// be off by, and aheadDoubt that of the tokens ahead.
const (
	cacheDoubt = 0.5
	aheadDoubt = 0.5
)

// observePrefill learns from the time to the first token. The less is known of the tokens that
// had to be computed, the less a sample counts.
func (m *Model) observePrefill(s *service, o *Observation, now time.Time) {
	r := s.rates(now)
	expected := r.FirstTokenMillis(o.UncachedTokens, o.PrefillAhead, o.Running)
	doubt := r.QueuedPrefillMillis(cacheDoubt*max(float64(o.Request.PromptTokens)-o.MinUncachedTokens, 0) + aheadDoubt*o.PrefillAhead)
	certainty := 1 / (1 + square(doubt/(relativeNoise*expected)))
	m.observeSpeed(s, o.Server, Millis(o.FirstToken)/expected, certainty, now)
	x := [features]float64{1, (o.UncachedTokens + o.PrefillAhead) / 1000, square(o.UncachedTokens / 1000)}
	s.prefill.add(x, Millis(o.FirstToken)-firstTokenSteps*r.StepMillis(o.Running), certainty, now)
}

// minStepTokens is the number of tokens from which an answer shows the time of a step.
const minStepTokens = 8

// observeSteps learns from the time between the tokens of an answer.
func (m *Model) observeSteps(s *service, o *Observation, now time.Time) {
	steps := o.AnswerTokens - o.FirstTokens
	if steps < minStepTokens || o.AnswerTime <= 0 {
		return
	}
	millis := Millis(o.AnswerTime) / float64(steps)
	r := s.rates(now)
	m.observeSpeed(s, o.Server, millis/r.StepMillis(o.Running), 1, now)
	s.step.add([features]float64{1, o.Running, 0}, millis, 1, now)
}

// maxCallRoutes bounds the routes of a service whose calls are told apart.
const maxCallRoutes = 256

// observeCall learns from the time of a call to a plain service.
func (m *Model) observeCall(s *service, o *Observation, now time.Time) {
	ofRoute, ok := s.calls[o.Request.Route]
	if !ok {
		if len(s.calls) >= maxCallRoutes {
			return
		}
		ofRoute = &logAverage{}
		s.calls[o.Request.Route] = ofRoute
	}
	log := math.Log(max(Millis(o.FirstToken), 0.1))
	usual := ofRoute.mean(s.allCalls.mean(math.Log(Millis(prior.CallTime)), callPriorWeight), callPriorWeight)
	if ofRoute.weight > fewSamples {
		m.observeSpeed(s, o.Server, math.Exp(log-usual), 1, now)
	}
	ofRoute.add(log, 1, now, ratesHalfLife)
	s.allCalls.add(log, 1, now, ratesHalfLife)
}

// observeSpeed records the ratio of a measured time to that of an ordinary server.
func (m *Model) observeSpeed(ofService *service, server uint32, ratio, weight float64, now time.Time) {
	if server == 0 || !(ratio > 0) {
		return
	}
	log := math.Log(min(max(ratio, MinSlowdown/2), 2*MaxSlowdown))
	if m.addSpeed(server, log, weight, ofService, now) {
		if p := m.pending[server]; p.add(log, weight) {
			m.pending[server] = p
		}
	}
}

// addSpeed adds a sample of a server's speed, and reports whether there was room for it.
// ofService is the server's service, nil if it is not known.
func (m *Model) addSpeed(server uint32, log, weight float64, ofService *service, now time.Time) bool {
	s, ok := m.servers[server]
	if !ok {
		if len(m.servers) >= maxServers {
			return false
		}
		s = &serverSpeed{}
		m.servers[server] = s
	}
	if s.service == nil {
		s.service = ofService
	}
	s.logRatio.addBounded(log, weight, -maxLogStep, maxDelayStep, now, slowdownHalfLife)
	if s.service != nil {
		s.service.logRatio.addBounded(log, weight, -maxLogStep, maxDelayStep, now, slowdownHalfLife)
	}
	return true
}

// logNormal describes a quantity whose logarithm has a mean and a standard deviation.
func logNormal(mean, deviation float64) Estimate {
	return Estimate{
		Mean:   math.Exp(mean + square(deviation)/2),
		Median: math.Exp(mean),
		P90:    math.Exp(mean + p90Deviations*deviation),
	}
}

// p90Deviations is the 90th percentile of the normal distribution in standard deviations.
const p90Deviations = 1.2816
