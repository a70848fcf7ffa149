package burn

import (
	"slices"
	"time"
)

// Alarm is the urgency of a burn rate.
type Alarm string

// Values of Alarm.
const (
	NoAlarm Alarm = ""
	// Page: at this rate a month's budget is used up within five days.
	Page Alarm = "page"
	// Ticket: at this rate a month's budget is used up within fifteen days.
	Ticket Alarm = "ticket"
)

// Burn rates that raise an alarm if both windows of a pair reach them. The
// highest possible rate, with every answer bad, is 1/(1-Objective) = 20; at
// that rate the longer window of the page's pair reaches PageRate within nine
// minutes.
const (
	PageRate   = 6
	TicketRate = 2
)

// MinAnswers is the number of answers in the short window below which no alarm
// is raised.
const MinAnswers = 20

// windowPair holds two windows, as indexes of Windows, that must both reach the
// rate to raise the alarm.
type windowPair struct {
	short, long int
	rate        float64
	alarm       Alarm
}

var alarmPairs = []windowPair{{short: 0, long: 1, rate: PageRate, alarm: Page}, {short: 2, long: 3, rate: TicketRate, alarm: Ticket}}

// AlarmOf returns the most urgent alarm for counts, which holds one count for
// each of Windows.
func AlarmOf(counts []Count) Alarm {
	for _, p := range alarmPairs {
		enough := counts[p.short].Answers >= MinAnswers
		if enough && counts[p.short].Rate() >= p.rate && counts[p.long].Rate() >= p.rate {
			return p.alarm
		}
	}
	return NoAlarm
}

// Dimension is the attribute by which a report's lines aggregate the counts.
type Dimension string

// Dimensions of a report, in the order of its lines.
const (
	ByService   Dimension = "service"
	ByVersion   Dimension = "version"
	ByRoute     Dimension = "route"
	ByWorkspace Dimension = "workspace"
)

// Line holds the burn rates of one value of a dimension.
type Line struct {
	By    Dimension `json:"by"`
	Name  string    `json:"name"`
	Rates []float64 `json:"rates"`
	// Answers is the number of answers in the longest window.
	Answers uint64 `json:"answers"`
	Alarm   Alarm  `json:"alarm,omitempty"`
}

// Report holds the burn rates by service, version, route and workspace.
type Report struct {
	At        time.Time `json:"at"`
	Objective float64   `json:"objective"`
	// Windows holds the lengths of the windows in seconds, in the order of each
	// line's rates.
	Windows []int64  `json:"windows_s"`
	Lines   []Line   `json:"lines"`
	Series  []Series `json:"series"`
	// Missing lists the entry VMs whose counts could not be fetched.
	Missing []string `json:"missing,omitempty"`
}

func dimensionNames(k Key) map[Dimension]string {
	return map[Dimension]string{
		ByService:   k.Service,
		ByVersion:   k.Service + "@" + k.Version,
		ByRoute:     k.Service + "/" + k.Route,
		ByWorkspace: k.Workspace,
	}
}

// NewReport computes the burn rates and alarms from a snapshot.
func NewReport(s Snapshot, at time.Time) Report {
	rep := Report{At: at, Objective: Objective, Series: s.Series}
	for _, w := range Windows {
		rep.Windows = append(rep.Windows, int64(w/time.Second))
	}
	for _, by := range []Dimension{ByService, ByVersion, ByRoute, ByWorkspace} {
		rep.Lines = append(rep.Lines, aggregateLines(s.Rows, by)...)
	}
	return rep
}

func aggregateLines(rows []Row, by Dimension) []Line {
	sums := map[string][]Count{}
	var order []string
	for _, r := range rows {
		name := dimensionNames(r.Key)[by]
		if sums[name] == nil {
			order = append(order, name)
		}
		sums[name] = addCounts(sums[name], r.Counts)
	}
	slices.Sort(order)
	var out []Line
	for _, name := range order {
		counts := sums[name]
		line := Line{By: by, Name: name, Answers: counts[len(counts)-1].Answers, Alarm: AlarmOf(counts)}
		for _, c := range counts {
			line.Rates = append(line.Rates, c.Rate())
		}
		out = append(out, line)
	}
	return out
}
