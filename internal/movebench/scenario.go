// Package movebench measures version moves in virtual time: good and faulty
// versions under a varying load, with disturbances that affect both versions, lost
// reports and coordinators that crash.
package movebench

import (
	"math"
	"math/rand/v2"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/state/document"
)

// Onset is the condition under which the fault of the new version takes effect.
type Onset string

// A fault with the onset Later begins at scenario.faultAt, one with UnderLoad takes
// effect from the share scenario.faultSharePermille on, and one with OneRoute affects
// only scenario.faultRoute.
const (
	NoOnset   Onset = "none"
	Immediate Onset = "at once"
	Later     Onset = "later"
	UnderLoad Onset = "under load"
	OneRoute  Onset = "one route"
)

// Effect is the effect of a fault on the answers of the new version.
type Effect string

// NoEffect stands for a good version, whose answers differ from those of the old one
// within the guard's tolerance.
const (
	NoEffect Effect = "good"
	Failing  Effect = "failing"
	Slow     Effect = "slow"
)

// Kind classifies moves by the fault of the new version.
type Kind struct {
	Onset  Onset
	Effect Effect
}

// kinds lists the good kind first. Half of all moves are of this kind.
var kinds = []Kind{
	{NoOnset, NoEffect},
	{Immediate, Failing}, {Immediate, Slow},
	{Later, Failing}, {Later, Slow},
	{UnderLoad, Failing}, {UnderLoad, Slow},
	{OneRoute, Failing}, {OneRoute, Slow},
}

const (
	nodeCount  = 8
	service    = "assistant"
	oldVersion = "v1"
	newVersion = "v2"
	// loadAfterDeadline is the duration of the load after the move's deadline.
	loadAfterDeadline = 60 * time.Second
)

var routeWeights = []float64{0.5, 0.3, 0.15, 0.05}
var routeNames = []string{"summaries", "questions", "tags", "notes"}

// scenario holds the parameters of one move and its load.
type scenario struct {
	seed uint64
	kind Kind
	// duration is the time from the move's start to its deadline.
	duration time.Duration
	// meanRate is in requests per second.
	meanRate float64
	// rateSwing is the amplitude of the rate over the move, relative to meanRate.
	rateSwing        float64
	baseFailureRatio float64
	// extraFailureRatio is added to the failure ratio and slowdown multiplies the
	// latencies of the requests that the fault affects.
	extraFailureRatio float64
	slowdown          float64
	// faultAt is the time at which a fault with the onset Later begins.
	faultAt time.Duration
	// faultSharePermille is the minimum share of the new version at which a fault with
	// the onset UnderLoad takes effect.
	faultSharePermille int
	// faultRoute is the index of the route that a fault with the onset OneRoute
	// affects.
	faultRoute   int
	disturbances []disturbance
}

// disturbance is a period in which both versions fail more often and are slower,
// as during a reclaim.
type disturbance struct {
	from, to          time.Duration
	extraFailureRatio float64
	slowdown          float64
}

func newScenario(seed uint64, kind Kind) scenario {
	random := rand.New(rand.NewPCG(seed, 1))
	uniform := func(low, high float64) float64 { return low + random.Float64()*(high-low) }
	s := scenario{
		seed:               seed,
		kind:               kind,
		duration:           time.Duration(uniform(480, 900)) * time.Second,
		meanRate:           uniform(25, 90),
		rateSwing:          uniform(0, 0.5),
		baseFailureRatio:   uniform(0, 0.01),
		faultSharePermille: []int{150, 400, 700}[random.IntN(3)],
		faultRoute:         random.IntN(len(routeNames)),
		slowdown:           1,
	}
	s.faultAt = time.Duration(uniform(0.2, 0.8) * float64(s.duration))
	s.drawFault(uniform)
	for at := uniform(60, 200); at < s.duration.Seconds(); at += uniform(100, 300) {
		from := time.Duration(at * float64(time.Second))
		s.disturbances = append(s.disturbances, disturbance{from: from, to: from + time.Duration(uniform(3, 12)*float64(time.Second)), extraFailureRatio: uniform(0.05, 0.3), slowdown: uniform(1, 3)})
	}
	return s
}

func (s *scenario) drawFault(uniform func(low, high float64) float64) {
	switch s.kind.Effect {
	case NoEffect:
		// Good versions differ slightly, within the guard's tolerance.
		s.extraFailureRatio, s.slowdown = uniform(0, 0.005), uniform(0.9, 1.2)
	case Failing:
		s.extraFailureRatio = uniform(0.08, 0.6)
	case Slow:
		s.slowdown = uniform(2, 4)
	}
}

var epoch = time.Date(2026, 1, 1, 9, 0, 0, 0, time.UTC)

// move returns the move as an entry of the operator's document.
func (s scenario) move() document.Move {
	return document.Move{
		Name: "to-v2", Service: service, From: oldVersion, To: newVersion,
		Start: epoch, Deadline: epoch.Add(s.duration),
		Guard: document.Guard{FailureIncrease: document.DefaultFailureIncrease, Slowdown: document.DefaultSlowdown},
	}
}

func (s scenario) document() *document.Document {
	doc := &document.Document{
		Services: []document.Service{{
			Name: service, Kind: document.ModelService, Serving: oldVersion,
			Versions: []document.Version{{Name: oldVersion, Model: oldVersion}, {Name: newVersion, Model: newVersion}},
		}},
		Moves: []document.Move{s.move()},
	}
	for _, name := range routeNames {
		doc.Services[0].Routes = append(doc.Services[0].Routes, document.Route{Name: name, Repeatable: true})
	}
	doc.SetDefaults()
	return doc
}

// requestsAt returns the number of requests in the second that begins at the
// given time.
func (s scenario) requestsAt(at time.Duration) int {
	phase := 2 * math.Pi * at.Seconds() / s.duration.Seconds()
	return int(s.meanRate * (1 + s.rateSwing*math.Sin(phase)))
}

// faultApplies reports whether the fault affects a request to the new version. The
// small differences of a good version affect every request.
func (s scenario) faultApplies(at time.Duration, sharePermille, route int) bool {
	switch s.kind.Onset {
	case Immediate:
		return true
	case Later:
		return at >= s.faultAt
	case UnderLoad:
		return sharePermille >= s.faultSharePermille
	case OneRoute:
		return route == s.faultRoute
	}
	return s.kind.Effect == NoEffect
}

func (s scenario) isFaulty() bool {
	return s.kind.Effect != NoEffect
}
