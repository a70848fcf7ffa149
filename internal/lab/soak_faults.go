package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/platform"
	"coltsfootpath.example/coltsfootpath/internal/standin/cloud"
	"coltsfootpath.example/coltsfootpath/internal/standin/engine"
	"coltsfootpath.example/coltsfootpath/internal/standin/logservice"
	"coltsfootpath.example/coltsfootpath/internal/standin/service"
	"coltsfootpath.example/coltsfootpath/internal/state/calls"
)

// faultKind is what a fault excuses.
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
	faultGapMin     = 200 * time.Millisecond
	faultGapMax     = 700 * time.Millisecond
	faultLengthMin  = 200 * time.Millisecond
	faultLengthMax  = 1500 * time.Millisecond
	replaceWaitMax  = 600 * time.Millisecond
	reclaimWaitMin  = time.Second
	reclaimWaitMax  = 2500 * time.Millisecond
	trimKeepRecords = 40
)

// soakFaults draws and causes the faults of one round.
type soakFaults struct {
	w      *World
	random *rand.Rand
	seed   uint64
	begun  time.Time
	// announced rounds have no death without a notice.
	announced bool

	mu    sync.Mutex
	live  map[platform.Role][]platform.VM
	next  int
	kinds map[faultKind]bool
	log   []string
	ends  sync.WaitGroup
}

func newSoakFaults(w *World, random *rand.Rand, seed uint64) *soakFaults {
	f := &soakFaults{
		w: w, random: random, seed: seed, begun: time.Now(), announced: seed%3 == 0,
		live: map[platform.Role][]platform.VM{}, next: 100, kinds: map[faultKind]bool{},
	}
	for _, vm := range w.vms() {
		f.live[vm.Role] = append(f.live[vm.Role], vm)
	}
	return f
}

// excuses tells whether a fault of one of the kinds was caused.
func (f *soakFaults) excuses(kinds ...faultKind) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(kinds, func(k faultKind) bool { return f.kinds[k] })
}

func (f *soakFaults) notes() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.log)
}

func (f *soakFaults) note(kind faultKind, format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.kinds[kind] = true
	at := time.Since(f.begun).Round(10 * time.Millisecond)
	f.log = append(f.log, fmt.Sprintf("%v %s: ", at, kind)+fmt.Sprintf(format, args...))
}

func (f *soakFaults) between(low, high time.Duration) time.Duration {
	return low + time.Duration(f.random.Int64N(int64(high-low)))
}

// run causes faults over the spread, then heals all and waits until every
// process that was to end has ended.
func (f *soakFaults) run(ctx context.Context, spread time.Duration) {
	until := f.begun.Add(spread)
	for time.Now().Before(until) && ctx.Err() == nil {
		time.Sleep(f.between(faultGapMin, faultGapMax))
		f.cause(ctx)
	}
	f.ends.Wait()
	f.heal()
}

func (f *soakFaults) heal() {
	f.w.Log.SetFaults(logservice.Faults{})
	f.w.Cloud.SetFaults(cloud.Faults{})
	f.w.SetServiceFaults(service.Faults{})
	f.w.SetEngineFaults(engine.Faults{})
}

// cause causes one fault drawn at random.
func (f *soakFaults) cause(ctx context.Context) {
	faults := []func(context.Context){
		f.reclaimOne, f.reclaimZone, f.drainEntry, f.logOutage, f.logSlow, f.logLoses, f.cloudOutage, f.serviceLoses, f.serviceFails, f.trimLog,
	}
	if !f.announced {
		faults = append(faults, f.kill, f.kill, f.kill, f.engineFails, f.engineSlow)
	}
	faults[f.random.IntN(len(faults))](ctx)
}

// fewest is how many VMs of each role must stay.
var fewest = map[platform.Role]int{platform.EntryRole: 3, platform.EngineRole: 4, platform.ServiceRole: 2}

// take removes a VM from the live ones, where enough are left.
func (f *soakFaults) take(match func(platform.VM) bool) (platform.VM, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var fit []platform.VM
	for _, role := range []platform.Role{platform.EntryRole, platform.EngineRole, platform.ServiceRole} {
		if len(f.live[role]) <= fewest[role] {
			continue
		}
		for _, vm := range f.live[role] {
			if match(vm) {
				fit = append(fit, vm)
			}
		}
	}
	if len(fit) == 0 {
		return platform.VM{}, false
	}
	vm := fit[f.random.IntN(len(fit))]
	f.live[vm.Role] = slices.DeleteFunc(f.live[vm.Role], func(o platform.VM) bool { return o.ID == vm.ID })
	return vm, true
}

func anyVM(platform.VM) bool { return true }

// replace starts a VM of the same role after a while.
func (f *soakFaults) replace(gone platform.VM) {
	wait := f.between(0, replaceWaitMax)
	f.mu.Lock()
	f.next++
	number := f.next
	f.mu.Unlock()
	f.ends.Go(func() {
		time.Sleep(wait)
		vm, err := f.w.add(gone.Role, number, gone.AvailabilityZone, f.seed)
		if err != nil {
			f.note(faultCloud, "no replacement of %s: %v", gone.ID, err)
			return
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		f.live[vm.Role] = append(f.live[vm.Role], vm)
	})
}

func (f *soakFaults) kill(context.Context) {
	vm, ok := f.take(anyVM)
	if !ok {
		return
	}
	f.note(faultKill, "%s", vm.ID)
	f.w.taken(vm)
	f.replace(vm)
}

func (f *soakFaults) reclaimOne(context.Context) {
	if vm, ok := f.take(anyVM); ok {
		f.reclaim([]platform.VM{vm})
	}
}

func (f *soakFaults) reclaimZone(context.Context) {
	zone := zoneName(f.random.IntN(soakSize.AvailabilityZones))
	var vms []platform.VM
	for {
		vm, ok := f.take(func(vm platform.VM) bool { return vm.AvailabilityZone == zone })
		if !ok {
			break
		}
		vms = append(vms, vm)
	}
	f.reclaim(vms)
}

func (f *soakFaults) reclaim(vms []platform.VM) {
	if len(vms) == 0 {
		return
	}
	notice := f.between(reclaimWaitMin, reclaimWaitMax)
	ids := map[string]bool{}
	for _, vm := range vms {
		ids[vm.ID] = true
		f.replace(vm)
	}
	f.note(faultReclaim, "%v in %v", ids, notice.Round(time.Millisecond))
	f.w.Cloud.Reclaim(notice, func(vm platform.VM) bool { return ids[vm.ID] })
	f.ends.Go(func() { time.Sleep(notice + faultLengthMin) })
}

func (f *soakFaults) drainEntry(ctx context.Context) {
	vm, ok := f.take(func(vm platform.VM) bool { return vm.Role == platform.EntryRole })
	if !ok {
		return
	}
	f.note(faultDrain, "%s", vm.ID)
	f.replace(vm)
	f.ends.Go(func() { _ = f.w.DrainEntry(ctx, vm.ID) })
}

// during keeps a fault on for a while.
func (f *soakFaults) during(kind faultKind, what string, on, off func()) {
	length := f.between(faultLengthMin, faultLengthMax)
	f.note(kind, "%s for %v", what, length.Round(time.Millisecond))
	on()
	f.ends.Go(func() {
		time.Sleep(length)
		off()
	})
}

func (f *soakFaults) logFault(what string, faults logservice.Faults) {
	f.during(faultLog, what, func() { f.w.Log.SetFaults(faults) }, func() { f.w.Log.SetFaults(logservice.Faults{}) })
}

func (f *soakFaults) logOutage(context.Context) {
	f.logFault("outage", logservice.Faults{Outage: true})
}

func (f *soakFaults) logSlow(context.Context) {
	f.logFault("slow", logservice.Faults{SlowMillis: 100 + f.random.IntN(1500)})
}

func (f *soakFaults) logLoses(context.Context) {
	f.logFault("loses answers", logservice.Faults{LoseAnswers: 0.2 + 0.6*f.random.Float64()})
}

func (f *soakFaults) cloudOutage(context.Context) {
	f.during(faultCloud, "outage", func() { f.w.Cloud.SetFaults(cloud.Faults{Outage: true}) }, func() { f.w.Cloud.SetFaults(cloud.Faults{}) })
}

func (f *soakFaults) serviceFault(what string, faults service.Faults) {
	f.during(faultService, what, func() { f.w.SetServiceFaults(faults) }, func() { f.w.SetServiceFaults(service.Faults{}) })
}

func (f *soakFaults) serviceLoses(context.Context) {
	f.serviceFault("loses answers", service.Faults{LoseAnswers: 0.5, SlowMillis: f.random.IntN(200)})
}

func (f *soakFaults) serviceFails(context.Context) {
	f.serviceFault("fails before it runs", service.Faults{FailRatio: 0.7})
}

func (f *soakFaults) engineFault(what string, faults engine.Faults) {
	f.during(faultEngine, what, func() { f.w.SetEngineFaults(faults) }, func() { f.w.SetEngineFaults(engine.Faults{}) })
}

func (f *soakFaults) engineFails(context.Context) {
	f.engineFault("fails", engine.Faults{FailRatio: 0.3 * f.random.Float64()})
}

func (f *soakFaults) engineSlow(context.Context) {
	f.engineFault("slow", engine.Faults{StepsPerToken: 2 + f.random.IntN(3)})
}

// trimLog lets retention pass over the older calls.
func (f *soakFaults) trimLog(context.Context) {
	if f.random.IntN(4) != 0 {
		return
	}
	batch, err := f.w.Log.Read(context.Background(), calls.Stream, 1, time.Millisecond)
	if err != nil || len(batch.Records) <= trimKeepRecords {
		return
	}
	before := batch.Next - trimKeepRecords
	f.note(faultTrim, "calls before %d", before)
	f.w.Log.Trim(calls.Stream, before)
}
