package gateway

import (
	"sync"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/movephase"
)

// doubtedLossTime is the age up to which losses are doubted once links are suspected.
const doubtedLossTime = 2 * time.Second

// moveLosses counts losses as evidence about moves, except for those that cut links may
// have caused: while the links to a service's servers are suspected, its last losses do not
// count.
type moveLosses struct {
	table *movephase.Table

	// mu may be held when the table's lock is acquired.
	mu sync.Mutex
	// recent holds the last losses that count, and doubted, by service, those that do not count
	// while links are suspected.
	recent  []timedLoss
	doubted map[string][]timedLoss
}

type timedLoss struct {
	movephase.Loss
	at time.Time
}

func newMoveLosses(table *movephase.Table) *moveLosses {
	return &moveLosses{table: table, doubted: map[string][]timedLoss{}}
}

// count counts a loss, or keeps it until settle if the links to its service are suspected.
func (m *moveLosses) count(l movephase.Loss, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.add(timedLoss{l, now}, now)
}

func (m *moveLosses) add(l timedLoss, now time.Time) {
	if doubted, isSuspected := m.doubted[l.Service]; isSuspected {
		m.doubted[l.Service] = append(doubted, l)
		return
	}
	m.table.CountLoss(l.Loss)
	old := 0
	for old < len(m.recent) && now.Sub(m.recent[old].at) > doubtedLossTime {
		old++
	}
	m.recent = append(m.recent[old:], l)
}

// doubt takes back the last losses of a service, whose links are suspected, until settle. It
// reports whether there are any.
func (m *moveLosses) doubt(service string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	doubted := []timedLoss{}
	var others []timedLoss
	for _, l := range m.recent {
		if l.Service != service || now.Sub(l.at) > doubtedLossTime {
			others = append(others, l)
			continue
		}
		m.table.TakeBack(l.Loss)
		doubted = append(doubted, l)
	}
	m.recent, m.doubted[service] = others, doubted
	return len(doubted) > 0
}

// settle ends the doubt about a service's losses. They count unless links were cut.
func (m *moveLosses) settle(service string, wereCut bool, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	doubted := m.doubted[service]
	delete(m.doubted, service)
	if wereCut {
		return
	}
	for _, l := range doubted {
		m.add(l, now)
	}
}
