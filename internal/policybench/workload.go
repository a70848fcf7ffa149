package policybench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/state/prefix"
)

// routeKind describes the requests of one route.
type routeKind struct {
	name     string
	priority int
	// percent is the route's share of all requests.
	percent int
	// prefixes is the number of shared prefixes, one of which begins each prompt.
	// prefixTokens is the length of each.
	prefixes, prefixTokens int
	// ownTokens is the mean number of prompt tokens after the shared prefix.
	ownTokens int
	// An answer has answerMin to answerMin+answerSpread-1 tokens.
	answerMin, answerSpread int
}

// routeKinds resembles the lab's request mix without its calls to plain services.
var routeKinds = []routeKind{
	{name: "summaries", priority: 2, percent: 25, prefixes: 40, prefixTokens: 512, ownTokens: 400, answerMin: 60, answerSpread: 60},
	{name: "clerk-questions", priority: 0, percent: 50, prefixes: 8, prefixTokens: 256, ownTokens: 30, answerMin: 10, answerSpread: 30},
	{name: "letter-tags", priority: 1, percent: 25, prefixes: 4, prefixTokens: 128, ownTokens: 60, answerMin: 4, answerSpread: 6},
}

var workspaceNames = []string{"statements", "branches", "letters", "trnava", "piestany"}

var workspaceWeights = []float64{5, 4, 3, 2, 1}

// request is a request of the workload and its progress.
type request struct {
	id            int
	workspace     int
	route         *routeKind
	prompt        []string
	blocks        []uint64
	answerTokens  int
	arrivalOffset time.Duration

	producedTokens int
	attempts       int
	rejections     int
	firstToken     time.Duration
	lastTokenAt    time.Time
	arrivedAt      time.Time
	betweenTokens  []time.Duration
	outcome        outcome
}

// outcome is the final status of a request, or pending.
type outcome int

const (
	pending outcome = iota
	served
	rejected
	expired
)

// phase is a period with a constant mean arrival rate.
type phase struct {
	duration time.Duration
	// rate is in requests per second.
	rate float64
}

// makeRequests draws the requests of all phases in the order of their arrival.
func makeRequests(phases []phase, seed uint64) []*request {
	random := rand.New(rand.NewPCG(seed, 4))
	shared := sharedPrefixes()
	var out []*request
	phaseStart := time.Duration(0)
	for _, p := range phases {
		at := phaseStart
		for {
			at += time.Duration(random.ExpFloat64() / p.rate * float64(time.Second))
			if at >= phaseStart+p.duration {
				break
			}
			out = append(out, drawRequest(len(out), at, shared, random))
		}
		phaseStart += p.duration
	}
	return out
}

func sharedPrefixes() [][][]string {
	out := make([][][]string, len(routeKinds))
	for r, k := range routeKinds {
		out[r] = make([][]string, k.prefixes)
		for variant := range k.prefixes {
			for i := range k.prefixTokens {
				out[r][variant] = append(out[r][variant], fmt.Sprintf("%s-%d-%d", k.name, variant, i))
			}
		}
	}
	return out
}

func drawRequest(id int, at time.Duration, shared [][][]string, random *rand.Rand) *request {
	n := len(workspaceNames)
	workspace := min(random.IntN(n), random.IntN(n))
	r := drawRoute(random)
	k := &routeKinds[r]
	own := k.ownTokens/2 + random.IntN(k.ownTokens)
	prompt := make([]string, 0, k.prefixTokens+own)
	prompt = append(prompt, shared[r][random.IntN(k.prefixes)]...)
	for range own {
		prompt = append(prompt, fmt.Sprintf("w%d", random.IntN(100_000)))
	}
	return &request{
		id: id, workspace: workspace, route: k, prompt: prompt, blocks: prefix.Blocks(prompt),
		answerTokens: k.answerMin + random.IntN(k.answerSpread), arrivalOffset: at,
	}
}

func drawRoute(random *rand.Rand) int {
	n := random.IntN(100)
	for i, k := range routeKinds {
		if n < k.percent {
			return i
		}
		n -= k.percent
	}
	return len(routeKinds) - 1
}
