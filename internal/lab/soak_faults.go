package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/standin/cloud"
	"coltsfootpath.example/coltsfootpath/internal/standin/engine"
	"coltsfootpath.example/coltsfootpath/internal/standin/logservice"
	"coltsfootpath.example/coltsfootpath/internal/standin/service"
	"coltsfootpath.example/coltsfootpath/internal/state/calls"
)

// faultKind classifies injected faults. Some final answers are allowed only in
// rounds with a fault of certain kinds.
type faultKind string

const (
	faultKill    faultKind = "kill"
	faultReclaim faultKind = "reclaim"
	faultDrain   faultKind = "drain"
	faultLog     faultKind = "log"
	faultCloud   faultKind = "cloud"
	faultService faultKind = "service"
	faultEngine  faultKind = "engine"
	faultTrim    faultKind = "trim"
)

const (
	minFaultGap       = 200 * time.Millisecond
	maxFaultGap       = 700 * time.Millisecond
	minFaultDuration  = 200 * time.Millisecond
	maxFaultDuration  = 1500 * time.Millisecond
	maxReplaceDelay   = 600 * time.Millisecond
	minReclaimNotice  = time.Second
	maxReclaimNotice  = 2500 * time.Millisecond
	recordsKeptByTrim = 40
)

// faultInjector draws and injects the faults of one round.
type faultInjector struct {
	cluster   *Cluster
	random    *rand.Rand
	seed      uint64
	startedAt time.Time
	// noKillsOrEngineFaults is set in rounds that inject neither kills nor engine
	// faults. In these rounds no VM stops without a reclaim notice.
	noKillsOrEngineFaults bool

	// mu guards running, lastNumber, injectedKinds and events.
	mu            sync.Mutex
	running       map[ports.Role][]ports.VM
	lastNumber    int
	injectedKinds map[faultKind]bool
	events        []string
	// pending counts the replacements that have not started and the faults that have
	// not ended.
	pending sync.WaitGroup
}

func newFaultInjector(c *Cluster, random *rand.Rand, seed uint64) *faultInjector {
	f := &faultInjector{
		cluster: c, random: random, seed: seed, startedAt: time.Now(), noKillsOrEngineFaults: seed%3 == 0,
		running: map[ports.Role][]ports.VM{}, lastNumber: 100, injectedKinds: map[faultKind]bool{},
	}
	for _, vm := range c.vms() {
		f.running[vm.Role] = append(f.running[vm.Role], vm)
	}
	return f
}

// hasInjected reports whether a fault of one of the kinds was injected.
func (f *faultInjector) hasInjected(kinds ...faultKind) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(kinds, func(k faultKind) bool { return f.injectedKinds[k] })
}

func (f *faultInjector) eventLog() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.events)
}

func (f *faultInjector) record(kind faultKind, format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.injectedKinds[kind] = true
	at := time.Since(f.startedAt).Round(10 * time.Millisecond)
	f.events = append(f.events, fmt.Sprintf("%v %s: ", at, kind)+fmt.Sprintf(format, args...))
}

// randomDuration draws a duration from low up to but not including high.
func (f *faultInjector) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(f.random.Int64N(int64(high-low)))
}

// run injects faults for the given duration, waits until each has ended and all
// replacement VMs have started, and clears all faults.
func (f *faultInjector) run(ctx context.Context, duration time.Duration) {
	until := f.startedAt.Add(duration)
	for time.Now().Before(until) && ctx.Err() == nil {
		time.Sleep(f.randomDuration(minFaultGap, maxFaultGap))
		f.injectRandom(ctx)
	}
	f.pending.Wait()
	f.clearFaults()
}

func (f *faultInjector) clearFaults() {
	f.cluster.Log.SetFaults(logservice.Faults{})
	f.cluster.Cloud.SetFaults(cloud.Faults{})
	f.cluster.SetServiceFaults(service.Faults{})
	f.cluster.SetEngineFaults(engine.Faults{})
}

// injectRandom injects one randomly drawn fault.
func (f *faultInjector) injectRandom(ctx context.Context) {
	faults := []func(context.Context){
		f.reclaimOne, f.reclaimZone, f.drainEntry, f.injectLogOutage, f.injectSlowLog, f.injectLogAnswerLoss, f.injectCloudOutage, f.injectServiceAnswerLoss, f.injectServiceFailures, f.trimLog,
	}
	if !f.noKillsOrEngineFaults {
		faults = append(faults, f.kill, f.kill, f.kill, f.injectEngineFailures, f.injectSlowEngines)
	}
	faults[f.random.IntN(len(faults))](ctx)
}

// minVMs holds the minimum number of running VMs of each role.
var minVMs = map[ports.Role]int{ports.EntryRole: 3, ports.EngineRole: 4, ports.ServiceRole: 2}

// takeVM draws a VM that matches, removes it from the running ones and returns
// it. It returns false if no VM matches, or if none may be removed because each role
// with a match has only its minimum number of VMs.
func (f *faultInjector) takeVM(match func(ports.VM) bool) (ports.VM, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var candidates []ports.VM
	for _, role := range []ports.Role{ports.EntryRole, ports.EngineRole, ports.ServiceRole} {
		if len(f.running[role]) <= minVMs[role] {
			continue
		}
		for _, vm := range f.running[role] {
			if match(vm) {
				candidates = append(candidates, vm)
			}
		}
	}
	if len(candidates) == 0 {
		return ports.VM{}, false
	}
	vm := candidates[f.random.IntN(len(candidates))]
	f.running[vm.Role] = slices.DeleteFunc(f.running[vm.Role], func(o ports.VM) bool { return o.ID == vm.ID })
	return vm, true
}

func anyVM(ports.VM) bool { return true }

// replace starts a VM of the same role and availability zone after a random
// delay.
func (f *faultInjector) replace(removed ports.VM) {
	wait := f.randomDuration(0, maxReplaceDelay)
	f.mu.Lock()
	f.lastNumber++
	number := f.lastNumber
	f.mu.Unlock()
	f.pending.Go(func() {
		time.Sleep(wait)
		vm, err := f.cluster.addVM(removed.Role, number, removed.AvailabilityZone, f.seed)
		if err != nil {
			f.record(faultCloud, "no replacement of %s: %v", removed.ID, err)
			return
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		f.running[vm.Role] = append(f.running[vm.Role], vm)
	})
}

func (f *faultInjector) kill(context.Context) {
	vm, ok := f.takeVM(anyVM)
	if !ok {
		return
	}
	f.record(faultKill, "%s", vm.ID)
	f.cluster.kill(vm)
	f.replace(vm)
}

func (f *faultInjector) reclaimOne(context.Context) {
	if vm, ok := f.takeVM(anyVM); ok {
		f.reclaim([]ports.VM{vm})
	}
}

func (f *faultInjector) reclaimZone(context.Context) {
	zone := zoneName(f.random.IntN(soakSize.AvailabilityZones))
	var vms []ports.VM
	for {
		vm, ok := f.takeVM(func(vm ports.VM) bool { return vm.AvailabilityZone == zone })
		if !ok {
			break
		}
		vms = append(vms, vm)
	}
	f.reclaim(vms)
}

func (f *faultInjector) reclaim(vms []ports.VM) {
	if len(vms) == 0 {
		return
	}
	notice := f.randomDuration(minReclaimNotice, maxReclaimNotice)
	ids := map[string]bool{}
	for _, vm := range vms {
		ids[vm.ID] = true
		f.replace(vm)
	}
	f.record(faultReclaim, "%v in %v", ids, notice.Round(time.Millisecond))
	f.cluster.Cloud.Reclaim(notice, func(vm ports.VM) bool { return ids[vm.ID] })
	f.pending.Go(func() { time.Sleep(notice + minFaultDuration) })
}

func (f *faultInjector) drainEntry(ctx context.Context) {
	vm, ok := f.takeVM(func(vm ports.VM) bool { return vm.Role == ports.EntryRole })
	if !ok {
		return
	}
	f.record(faultDrain, "%s", vm.ID)
	f.replace(vm)
	f.pending.Go(func() { _ = f.cluster.DrainEntry(ctx, vm.ID) })
}

// injectFor switches a fault on and, after a random duration, off again. It
// returns as soon as the fault is on.
func (f *faultInjector) injectFor(kind faultKind, name string, on, off func()) {
	duration := f.randomDuration(minFaultDuration, maxFaultDuration)
	f.record(kind, "%s for %v", name, duration.Round(time.Millisecond))
	on()
	f.pending.Go(func() {
		time.Sleep(duration)
		off()
	})
}

func (f *faultInjector) injectLogFault(name string, faults logservice.Faults) {
	f.injectFor(faultLog, name, func() { f.cluster.Log.SetFaults(faults) }, func() { f.cluster.Log.SetFaults(logservice.Faults{}) })
}

func (f *faultInjector) injectLogOutage(context.Context) {
	f.injectLogFault("outage", logservice.Faults{Outage: true})
}

func (f *faultInjector) injectSlowLog(context.Context) {
	f.injectLogFault("slow", logservice.Faults{SlowMillis: 100 + f.random.IntN(1500)})
}

func (f *faultInjector) injectLogAnswerLoss(context.Context) {
	f.injectLogFault("loses answers", logservice.Faults{AnswerLossRatio: 0.2 + 0.6*f.random.Float64()})
}

func (f *faultInjector) injectCloudOutage(context.Context) {
	f.injectFor(faultCloud, "outage", func() { f.cluster.Cloud.SetFaults(cloud.Faults{Outage: true}) }, func() { f.cluster.Cloud.SetFaults(cloud.Faults{}) })
}

func (f *faultInjector) injectServiceFault(name string, faults service.Faults) {
	f.injectFor(faultService, name, func() { f.cluster.SetServiceFaults(faults) }, func() { f.cluster.SetServiceFaults(service.Faults{}) })
}

func (f *faultInjector) injectServiceAnswerLoss(context.Context) {
	f.injectServiceFault("loses answers", service.Faults{AnswerLossRatio: 0.5, SlowMillis: f.random.IntN(200)})
}

func (f *faultInjector) injectServiceFailures(context.Context) {
	f.injectServiceFault("fails before it runs", service.Faults{FailRatio: 0.7})
}

func (f *faultInjector) injectEngineFault(name string, faults engine.Faults) {
	f.injectFor(faultEngine, name, func() { f.cluster.SetEngineFaults(faults) }, func() { f.cluster.SetEngineFaults(engine.Faults{}) })
}

func (f *faultInjector) injectEngineFailures(context.Context) {
	f.injectEngineFault("fails", engine.Faults{FailRatio: 0.3 * f.random.Float64()})
}

func (f *faultInjector) injectSlowEngines(context.Context) {
	f.injectEngineFault("slow", engine.Faults{StepsPerToken: 2 + f.random.IntN(3)})
}

// trimLog trims the stream of calls to its newest records, as retention would. It
// does so with a probability of 1 in 4 and otherwise does nothing.
func (f *faultInjector) trimLog(context.Context) {
	if f.random.IntN(4) != 0 {
		return
	}
	batch, err := f.cluster.Log.Read(context.Background(), calls.Stream, 1, time.Millisecond)
	if err != nil || len(batch.Records) <= recordsKeptByTrim {
		return
	}
	before := batch.Next - recordsKeptByTrim
	f.record(faultTrim, "calls before %d", before)
	f.cluster.Log.Trim(calls.Stream, before)
}
