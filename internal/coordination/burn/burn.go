// Package burn measures how fast services use up their error budget, over
// several windows at once: a short window shows that the burn is still ongoing,
// a long one that it is significant.
package burn

import (
	"cmp"
	"slices"
	"time"
)

// Objective is the fraction of answers that the users require to be good: 95 in
// 100.
const Objective = 0.95

// Key identifies the answers that are counted together.
type Key struct {
	Service   string `json:"service"`
	Version   string `json:"version"`
	Route     string `json:"route"`
	Workspace string `json:"workspace"`
}

// Count holds the total number of answers and the number of bad ones.
type Count struct {
	Answers    uint64 `json:"answers"`
	BadAnswers uint64 `json:"bad"`
}

// Add adds the counts of o.
func (c *Count) Add(o Count) {
	c.Answers += o.Answers
	c.BadAnswers += o.BadAnswers
}

// Rate returns the burn rate: 1 uses up the budget exactly. It is 0 if there
// are no answers.
func (c Count) Rate() float64 {
	if c.Answers == 0 {
		return 0
	}
	return float64(c.BadAnswers) / float64(c.Answers) / (1 - Objective)
}

// Windows lists the windows of a report, the shortest first.
var Windows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour}

const (
	bucketLength = time.Minute
	bucketCount  = 6*60 + 1
	// SeriesLength is the number of minutes in a service's series.
	SeriesLength = 60
)

// minuteRing holds the counts of the last minutes, in one bucket for each
// minute.
type minuteRing struct {
	counts  [bucketCount]Count
	minutes [bucketCount]int64
}

func minuteOf(t time.Time) int64 {
	return t.Unix() / int64(bucketLength/time.Second)
}

func (r *minuteRing) add(now time.Time, c Count) {
	m := minuteOf(now)
	i := m % bucketCount
	if r.minutes[i] != m {
		r.minutes[i], r.counts[i] = m, Count{}
	}
	r.counts[i].Add(c)
}

// sum returns the total of the window that ends at now.
func (r *minuteRing) sum(now time.Time, window time.Duration) Count {
	var out Count
	last := minuteOf(now)
	first := last - int64(window/bucketLength) + 1
	for i, m := range r.minutes {
		if m >= first && m <= last {
			out.Add(r.counts[i])
		}
	}
	return out
}

func (r *minuteRing) countOf(minute int64) Count {
	if i := minute % bucketCount; r.minutes[i] == minute {
		return r.counts[i]
	}
	return Count{}
}

// Tracker counts one node's answers. It is not safe for concurrent use. MaxKeys
// bounds its memory.
type Tracker struct {
	rings map[Key]*minuteRing
}

// MaxKeys bounds the number of keys on one node. Once it is reached, answers with
// any other key are counted under a key that has only the service.
const MaxKeys = 2000

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{rings: map[Key]*minuteRing{}}
}

// Add counts one answer.
func (t *Tracker) Add(k Key, bad bool, now time.Time) {
	r, ok := t.rings[k]
	if !ok && len(t.rings) >= MaxKeys {
		k = Key{Service: k.Service}
		r, ok = t.rings[k]
	}
	if !ok {
		r = &minuteRing{}
		t.rings[k] = r
	}
	c := Count{Answers: 1}
	if bad {
		c.BadAnswers = 1
	}
	r.add(now, c)
}

// Row holds one key's counts, one for each of Windows.
type Row struct {
	Key    Key     `json:"key"`
	Counts []Count `json:"counts"`
}

// Series holds a service's counts for each of the last SeriesLength minutes.
type Series struct {
	Service string  `json:"service"`
	Minutes []Count `json:"minutes"`
}

// Snapshot holds the counts of one node, or the total over several nodes.
type Snapshot struct {
	Rows   []Row    `json:"rows"`
	Series []Series `json:"series"`
}

// Snapshot returns the counts of the windows that end at now.
func (t *Tracker) Snapshot(now time.Time) Snapshot {
	var out Snapshot
	series := map[string][]Count{}
	for k, r := range t.rings {
		row := Row{Key: k}
		for _, w := range Windows {
			row.Counts = append(row.Counts, r.sum(now, w))
		}
		out.Rows = append(out.Rows, row)
		series[k.Service] = addSeries(series[k.Service], r, now)
	}
	for service, minutes := range series {
		out.Series = append(out.Series, Series{Service: service, Minutes: minutes})
	}
	out.sort()
	return out
}

func addSeries(sum []Count, r *minuteRing, now time.Time) []Count {
	if sum == nil {
		sum = make([]Count, SeriesLength)
	}
	first := minuteOf(now) - SeriesLength + 1
	for i := range sum {
		sum[i].Add(r.countOf(first + int64(i)))
	}
	return sum
}

func (s *Snapshot) sort() {
	slices.SortFunc(s.Rows, func(a, b Row) int { return compareKeys(a.Key, b.Key) })
	slices.SortFunc(s.Series, func(a, b Series) int { return cmp.Compare(a.Service, b.Service) })
}

func compareKeys(a, b Key) int {
	return cmp.Or(
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Version, b.Version),
		cmp.Compare(a.Route, b.Route),
		cmp.Compare(a.Workspace, b.Workspace),
	)
}

// Merge returns the total of several nodes' snapshots.
func Merge(all []Snapshot) Snapshot {
	rows := map[Key][]Count{}
	series := map[string][]Count{}
	for _, s := range all {
		for _, r := range s.Rows {
			rows[r.Key] = addCounts(rows[r.Key], r.Counts)
		}
		for _, r := range s.Series {
			series[r.Service] = addCounts(series[r.Service], r.Minutes)
		}
	}
	var out Snapshot
	for k, counts := range rows {
		out.Rows = append(out.Rows, Row{Key: k, Counts: counts})
	}
	for service, minutes := range series {
		out.Series = append(out.Series, Series{Service: service, Minutes: minutes})
	}
	out.sort()
	return out
}

func addCounts(sum, add []Count) []Count {
	if sum == nil {
		sum = make([]Count, len(add))
	}
	for i := range min(len(sum), len(add)) {
		sum[i].Add(add[i])
	}
	return sum
}
