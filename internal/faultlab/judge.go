package faultlab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

// ledger holds what callers asked for and got.
type ledger struct {
	mu     sync.Mutex
	asked  map[string]asked
	breaks []string
	lines  []string
}

type asked struct {
	ask platformtest.Ask
	got platformtest.Got
}

func newLedger() *ledger { return &ledger{asked: map[string]asked{}} }

func (l *ledger) add(a platformtest.Ask, g platformtest.Got) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked[a.ID] = asked{a, g}
}

func (l *ledger) broke(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breaks = append(l.breaks, fmt.Sprintf(format, args...))
}

func (l *ledger) broken() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.breaks...)
}

func (l *ledger) note(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, line)
}

func (l *ledger) notes() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.lines...)
}

const (
	// askTime bounds one request as its caller sees it.
	askTime = 3 * time.Second
	// askGap is the longest pause between two requests of a caller.
	askGap = 40 * time.Millisecond
)

// call sends requests to one VM over kept connections until ctx ends.
func (w *world) call(ctx context.Context, v *entryVM, random *rand.Rand, name string) {
	caller := platformtest.NewCaller(v.callers)
	defer caller.Close()
	paths := []string{platformtest.OncePath, platformtest.AgainPath, platformtest.StreamPath}
	for n := 0; ctx.Err() == nil; n++ {
		path := paths[random.IntN(len(paths))]
		a := platformtest.Ask{ID: fmt.Sprintf("%s-%d", name, n), Method: http.MethodPost, Path: path + "x", Key: platformtest.Key, Body: "body of " + name, Left: askTime}
		askCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*askTime)
		g := caller.Do(askCtx, a)
		cancel()
		w.ledger.add(a, g)
		time.Sleep(time.Duration(random.Int64N(int64(askGap))))
	}
}

// report is what one seed came to.
type report struct {
	asked, served, failed, refused, cut int
	broken                              []string
}

// String tells the numbers of a report.
func (r *report) String() string {
	return fmt.Sprintf("asked=%d served=%d failed=%d refused=%d cut=%d broken=%d", r.asked, r.served, r.failed, r.refused, r.cut, len(r.broken))
}

// judge compares what callers got with what backend servers ran.
func (w *world) judge(ready bool) *report {
	if !ready {
		w.ledger.broke("not all processes are ready %v after the last fault", settleTime)
	} else {
		w.judgeDocument()
	}
	w.judgeUsage()
	runs := map[string][]platformtest.Run{}
	for _, s := range w.servers {
		for _, r := range s.Runs() {
			runs[r.ID] = append(runs[r.ID], r)
		}
	}
	rep := &report{}
	w.ledger.mu.Lock()
	all := w.ledger.asked
	w.ledger.mu.Unlock()
	for id, a := range all {
		rep.count(a.got)
		w.judgeOne(a, runs[id])
	}
	for id, list := range runs {
		if _, ok := all[id]; !ok {
			w.ledger.broke("request %q ran and nobody sent it: %+v", id, list[0])
		}
	}
	rep.broken = w.ledger.broken()
	return rep
}

func (r *report) count(g platformtest.Got) {
	r.asked++
	switch {
	case g.Err != nil:
		r.cut++
	case g.Status == http.StatusOK:
		r.served++
	case g.NotRun():
		r.refused++
	default:
		r.failed++
	}
}

// judgeOne checks one request against its runs.
func (w *world) judgeOne(a asked, runs []platformtest.Run) {
	once := strings.HasPrefix(a.ask.Path, platformtest.OncePath)
	if once && len(runs) > 1 {
		w.ledger.broke("%s ran %d times", a.ask.ID, len(runs))
	}
	if once && a.got.NotRun() && len(runs) > 0 {
		w.ledger.broke("%s was said not to have run, and ran", a.ask.ID)
	}
	for _, r := range runs {
		if r.Body != a.ask.Body || r.Target != a.ask.Path || r.Method != a.ask.Method {
			w.ledger.broke("%s reached a server as %s %s %q", a.ask.ID, r.Method, r.Target, r.Body)
		}
	}
	if a.got.Err != nil || a.got.Status != http.StatusOK {
		return
	}
	if a.got.ID != a.ask.ID || a.got.Seal == "" {
		w.ledger.broke("%s got an answer to %q with the seal %q", a.ask.ID, a.got.ID, a.got.Seal)
	}
	if strings.HasPrefix(a.ask.Path, platformtest.StreamPath) {
		if a.got.Body != wholeStream() {
			w.ledger.broke("%s got the events %q", a.ask.ID, a.got.Body)
		}
		return
	}
	if !strings.HasSuffix(a.got.Body, " to "+a.ask.ID) {
		w.ledger.broke("%s got %q", a.ask.ID, a.got.Body)
	}
}

func wholeStream() string {
	var b strings.Builder
	for n := 1; n <= platformtest.Events; n++ {
		b.WriteString(platformtest.Event(n))
	}
	return b.String()
}

// judgeDocument asks every VM for a route that the last document added.
func (w *world) judgeDocument() {
	for _, v := range w.vms {
		caller := platformtest.NewCaller(v.callers)
		served := false
		for end := time.Now().Add(settleTime); time.Now().Before(end) && !served; time.Sleep(50 * time.Millisecond) {
			ctx, cancel := context.WithTimeout(context.Background(), askTime)
			a := platformtest.Ask{ID: "added-" + v.name, Method: http.MethodGet, Path: platformtest.AddedPath + "x", Key: platformtest.Key, Left: askTime}
			g := caller.Do(ctx, a)
			cancel()
			w.ledger.add(a, g)
			served = g.Err == nil && g.Status == http.StatusOK
		}
		caller.Close()
		if !served {
			w.ledger.broke("%s does not serve the last document's route", v.name)
		}
	}
}

// judgeUsage checks that no window was reported twice with different counts, and
// that a later holder has a higher fence.
func (w *world) judgeUsage() {
	holders := map[uint64]string{}
	for _, window := range w.store.Windows() {
		reports := w.store.UsageOf(window)
		for _, r := range reports {
			if fmt.Sprint(r.Counts) != fmt.Sprint(reports[0].Counts) {
				w.ledger.broke("window %d was reported as %v and as %v", window, reports[0].Counts, r.Counts)
			}
			if h, ok := holders[r.Fence]; ok && h != r.Holder {
				w.ledger.broke("%s and %s share fence %d", h, r.Holder, r.Fence)
			}
			holders[r.Fence] = r.Holder
		}
	}
}
