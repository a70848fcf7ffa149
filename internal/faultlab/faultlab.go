// Package faultlab runs the real programs as separate processes beside small
// stand-ins of the platform, harms them from outside, and judges from what
// callers and backend servers see alone. Faults come in series and overlap:
// signals, and proxies before the store and before the backend servers.
package faultlab

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/standin/logservice"
	"coltsfootpath.example/coltsfootpath/platform"
	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

const readyPath = platform.ReadyPath

// Options are the flags of a run.
type Options struct {
	Seed      uint64
	Minutes   float64
	Processes int
	// Binary is the program that is run; empty for the one beside this program.
	Binary string
	// Dir holds settings and logs; empty for a new one, removed after a clean run.
	Dir string
	// RoundTime is how long the faults of one seed come.
	RoundTime time.Duration
}

const (
	defaultRound = 20 * time.Second
	serversCount = 5
	callersPerVM = 2
	// patience is how long a process may take to end after SIGTERM: its grace
	// and something for a busy machine.
	patience = 20 * time.Second
	// settleTime bounds the time after the last fault until all VMs are ready.
	settleTime = 40 * time.Second
)

// ErrBroken means that a promise was broken.
var ErrBroken = errors.New("a promise was broken")

// Run plays seeds one after another until the time is up.
func Run(ctx context.Context, o Options, out io.Writer) error {
	if o.RoundTime == 0 {
		o.RoundTime = defaultRound
	}
	until := time.Now().Add(time.Duration(o.Minutes * float64(time.Minute)))
	var failed []uint64
	for seed := o.Seed; seed == o.Seed || time.Now().Before(until); seed++ {
		rep, err := round(ctx, o, seed, out)
		if err != nil {
			return errors.Wrapf(err, "seed %d", seed)
		}
		fmt.Fprintf(out, "faults: seed=%d %s\n", seed, rep)
		if len(rep.broken) > 0 {
			failed = append(failed, seed)
			for _, b := range rep.broken {
				fmt.Fprintf(out, "faults: seed=%d broken: %s\n", seed, b)
			}
		}
	}
	if len(failed) > 0 {
		fmt.Fprintf(out, "faults: FAIL: seeds %d\n", failed)
		return ErrBroken
	}
	fmt.Fprintln(out, "faults: PASS")
	return nil
}

// world is one seed's processes and stand-ins.
type world struct {
	o       Options
	random  *rand.Rand
	store   *platformtest.Store
	servers []*platformtest.Server
	proxies []*proxy
	vms     []*entryVM
	dir     string
	ledger  *ledger
	events  io.Writer
	began   time.Time
}

func round(ctx context.Context, o Options, seed uint64, out io.Writer) (*report, error) {
	w := &world{o: o, random: rand.New(rand.NewPCG(seed, 77)), ledger: newLedger(), events: out, began: time.Now()}
	defer w.close()
	if err := w.start(); err != nil {
		return nil, err
	}
	if !w.awaitReady(settleTime) {
		return nil, errors.New("the processes do not get ready")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var load sync.WaitGroup
	for i, v := range w.vms {
		for k := range callersPerVM {
			load.Go(func() {
				w.call(ctx, v, rand.New(rand.NewPCG(seed, uint64(100+i*callersPerVM+k))), fmt.Sprintf("%d-%d-%d", seed, i, k))
			})
		}
	}
	w.harm(ctx, o.RoundTime)
	w.heal()
	ready := w.awaitReady(settleTime)
	cancel()
	load.Wait()
	rep := w.judge(ready)
	if len(rep.broken) > 0 {
		w.keep(out)
	}
	return rep, nil
}

// start brings up everything.
func (w *world) start() error {
	binary := w.o.Binary
	if binary == "" {
		self, err := os.Executable()
		if err != nil {
			return errors.Wrap(err, "find own program")
		}
		binary = filepath.Join(filepath.Dir(self), "coltsfoot-gateway")
	}
	dir, err := os.MkdirTemp(w.o.Dir, "faultlab-")
	if err != nil {
		return errors.Wrap(err, "make directory")
	}
	w.dir = dir
	w.store = platformtest.NewStore()
	w.store.Put(platform.OperatorTopic, platform.DocumentKey, platformtest.Document(1))
	for i := range serversCount {
		if err := w.addServer(fmt.Sprint("s-", i)); err != nil {
			return err
		}
	}
	for i := range w.o.Processes {
		v, err := newEntryVM(dir, binary, fmt.Sprint("vm-", i), fmt.Sprint("zone-", i%4), w.store.Address())
		if err != nil {
			return err
		}
		w.vms = append(w.vms, v)
		if err := v.start(); err != nil {
			return err
		}
	}
	return nil
}

// addServer starts a backend server behind a proxy.
func (w *world) addServer(id string) error {
	s := platformtest.NewServer(id, w.serverFaults(id))
	p, err := newProxy(s.Address())
	if err != nil {
		return errors.Wrap(err, "proxy of a server")
	}
	w.servers, w.proxies = append(w.servers, s), append(w.proxies, p)
	w.store.Put(platform.ServersTopic, id, s.EntryAt(p.address(), "s", "zone-0", "ready"))
	return nil
}

// serverFaults draws how each request at a server ends.
func (w *world) serverFaults(id string) func(int, platformtest.Run) platformtest.Ending {
	endings := []platformtest.Ending{
		platformtest.Fail, platformtest.Full, platformtest.CutHead, platformtest.CutEvent, platformtest.Unsealed, platformtest.Extra, platformtest.Unframed,
	}
	return func(n int, r platformtest.Run) platformtest.Ending {
		random := rand.New(rand.NewPCG(uint64(n), uint64(len(id)+len(r.ID))))
		if random.IntN(20) > 0 {
			return platformtest.Whole
		}
		return endings[random.IntN(len(endings))]
	}
}

func (w *world) awaitReady(most time.Duration) bool {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		ready := 0
		for _, v := range w.vms {
			if v.isReady() {
				ready++
			}
		}
		if ready == len(w.vms) {
			return true
		}
	}
	return false
}

// harm draws faults until the time is up. Each lasts a while, and the next one
// may begin before it is over.
func (w *world) harm(ctx context.Context, length time.Duration) {
	var running sync.WaitGroup
	defer running.Wait()
	for end := time.Now().Add(length); time.Now().Before(end) && ctx.Err() == nil; {
		lasts := time.Duration(300+w.random.IntN(4000)) * time.Millisecond
		f := w.drawFault(lasts)
		running.Go(f)
		time.Sleep(time.Duration(w.random.IntN(1500)) * time.Millisecond)
	}
}

func (w *world) drawFault(lasts time.Duration) func() {
	v := w.vms[w.random.IntN(len(w.vms))]
	i := w.random.IntN(len(w.proxies))
	fault := Fault(1 + w.random.IntN(int(faults)-1))
	kind := w.random.IntN(8)
	return func() {
		switch kind {
		case 0:
			w.note("kill %s", v.name)
			v.restart(func() { v.stop(syscall.SIGKILL, patience) }, lasts/4, w.fail)
		case 1:
			w.note("terminate %s", v.name)
			v.restart(func() {
				if !v.stop(syscall.SIGTERM, patience) {
					w.fail(errors.Newf("%s did not end by itself after SIGTERM", v.name))
				}
			}, lasts/4, w.fail)
		case 2:
			w.note("pause %s for %v", v.name, lasts)
			v.signal(syscall.SIGSTOP)
			time.Sleep(lasts)
			v.signal(syscall.SIGCONT)
		case 3:
			w.note("store of %s: %v for %v", v.name, fault, lasts)
			v.store.set(fault)
			time.Sleep(lasts)
			v.store.set(Clear)
		case 4, 5:
			w.note("server %d: %v for %v", i, fault, lasts)
			w.proxies[i].set(fault)
			time.Sleep(lasts)
			w.proxies[i].set(Clear)
		case 6:
			w.note("store loses answers for %v", lasts)
			w.store.SetFaults(logservice.Faults{LoseAnswers: 0.3})
			time.Sleep(lasts)
			w.store.SetFaults(logservice.Faults{})
		case 7:
			w.note("store down for %v", lasts)
			w.store.SetFaults(logservice.Faults{Outage: true})
			time.Sleep(lasts)
			w.store.SetFaults(logservice.Faults{})
		}
	}
}

// restart ends a process and starts it again; two at once are one.
func (v *entryVM) restart(stop func(), pause time.Duration, fail func(error)) {
	if !v.restarting.TryLock() {
		return
	}
	defer v.restarting.Unlock()
	v.signal(syscall.SIGCONT)
	stop()
	time.Sleep(pause)
	if err := v.start(); err != nil {
		fail(err)
	}
}

func (w *world) note(format string, args ...any) {
	w.ledger.note(fmt.Sprintf("%6.2f s ", time.Since(w.began).Seconds()) + fmt.Sprintf(format, args...))
}

func (w *world) fail(err error) { w.ledger.broke("%v", err) }

// heal ends every fault.
func (w *world) heal() {
	for _, v := range w.vms {
		v.signal(syscall.SIGCONT)
		v.store.set(Clear)
	}
	for _, p := range w.proxies {
		p.set(Clear)
	}
	w.store.SetFaults(logservice.Faults{})
	// A new document has to reach all VMs, whatever they have been through.
	w.store.Put(platform.OperatorTopic, platform.DocumentKey, platformtest.Document(2))
}

func (w *world) close() {
	for _, v := range w.vms {
		v.signal(syscall.SIGCONT)
		v.stop(syscall.SIGKILL, patience)
		v.store.close()
	}
	for i := range w.servers {
		w.proxies[i].close()
		w.servers[i].Close()
	}
	if w.store != nil {
		w.store.Close()
	}
	if len(w.ledger.broken()) == 0 {
		_ = os.RemoveAll(w.dir)
	}
}

// keep tells where the logs of a broken round are, and what was done to it.
func (w *world) keep(out io.Writer) {
	fmt.Fprintf(out, "faults: logs in %s\n", w.dir)
	for _, line := range w.ledger.notes() {
		fmt.Fprintf(out, "faults: %s\n", line)
	}
}
