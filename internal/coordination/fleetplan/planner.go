package fleetplan

import (
	"cmp"
	"slices"
	"time"
)

// Config bounds how quickly the fleet changes.
type Config struct {
	// BackoffBase is the wait after the first rejected start in a slot; it
	// doubles up to MaxBackoff.
	BackoffBase time.Duration
	MaxBackoff  time.Duration
	// StartTimeout is the time after which a VM that does not serve yet counts as
	// a rejected start.
	StartTimeout time.Duration
	// HoldTime is the time for which a surplus, or a cheaper mix, has to persist
	// before a VM is stopped or replaced.
	HoldTime time.Duration
	// StopDemandFactor multiplies the demand that the remaining VMs must meet after
	// a stop.
	StopDemandFactor float64
	// MinSaving is the share of the cost that a cheaper mix has to save.
	MinSaving float64
	// MaxReplacements bounds the number of VMs started at once to replace more
	// expensive ones.
	MaxReplacements int
}

// DefaultConfig suits fleets whose VMs serve within minutes of their order.
var DefaultConfig = Config{
	BackoffBase:      15 * time.Second,
	MaxBackoff:       10 * time.Minute,
	StartTimeout:     3 * time.Minute,
	HoldTime:         2 * time.Minute,
	StopDemandFactor: 1.15,
	MinSaving:        0.1,
	MaxReplacements:  2,
}

// VM is one engine VM of the fleet.
type VM struct {
	ID string
	Slot
	// Starting is true until the VM serves.
	Starting bool
	// Since is the time at which the VM was ordered.
	Since time.Time
	// Leaving is true for a VM that is about to leave; such VMs are not counted.
	Leaving bool
}

// Plan holds the VMs to start and stop now.
type Plan struct {
	Start []Slot
	// Stop lists the ids of VMs to drain and stop.
	Stop []string
	// DemandMet is false if the offers can't meet the demand.
	DemandMet bool
}

// backoff blocks a slot until a time after rejected starts.
type backoff struct {
	rejections int
	until      time.Time
}

// Planner plans a fleet step by step. It holds the state between the steps.
type Planner struct {
	cfg      Config
	backoffs map[Slot]*backoff
	// overdueStarts holds the ids of VMs past their StartTimeout.
	overdueStarts map[string]bool
	surplusSince  time.Time
	cheaperSince  time.Time
}

// NewPlanner returns a planner without state from earlier steps.
func NewPlanner(cfg Config) *Planner {
	return &Planner{cfg: cfg, backoffs: map[Slot]*backoff{}, overdueStarts: map[string]bool{}}
}

// RecordRejected records a start that the cloud rejected.
func (p *Planner) RecordRejected(slot Slot, now time.Time) {
	b, ok := p.backoffs[slot]
	if !ok {
		b = &backoff{}
		p.backoffs[slot] = b
	}
	b.until = now.Add(min(p.cfg.BackoffBase<<min(b.rejections, 16), p.cfg.MaxBackoff))
	b.rejections++
}

// RecordStarted records that a started VM serves.
func (p *Planner) RecordStarted(slot Slot) {
	delete(p.backoffs, slot)
}

// Step returns the VMs to start and stop now. Starts precede stops: a VM is
// stopped only if the VMs that already serve meet the demand without it.
func (p *Planner) Step(d Demand, offers []Offer, vms []VM, now time.Time) Plan {
	p.recordOverdueStarts(vms, now)
	offers = p.blockInBackoff(offers, now)
	serving, present := p.count(vms)
	target, met := Cheapest(d, offers, present)
	out := Plan{Start: missing(target, present, offers), DemandMet: met}
	if len(out.Start) == 0 && met {
		out.Start = p.replace(d, offers, present, now)
	}
	if len(out.Start) == 0 {
		out.Stop = p.surplus(d, offers, serving, vms, now)
	}
	return out
}

// recordOverdueStarts records each start past its StartTimeout as one rejection.
func (p *Planner) recordOverdueStarts(vms []VM, now time.Time) {
	overdue := map[string]bool{}
	for _, vm := range vms {
		if !vm.Starting || now.Sub(vm.Since) < p.cfg.StartTimeout {
			continue
		}
		overdue[vm.ID] = true
		if !p.overdueStarts[vm.ID] {
			p.RecordRejected(vm.Slot, now)
		}
	}
	p.overdueStarts = overdue
}

// blockInBackoff returns a copy of the offers in which those with a slot in
// backoff are blocked.
func (p *Planner) blockInBackoff(offers []Offer, now time.Time) []Offer {
	out := slices.Clone(offers)
	for i := range out {
		if b, ok := p.backoffs[out[i].Slot]; ok && now.Before(b.until) {
			out[i].Blocked = true
		}
	}
	return out
}

// count returns the number of VMs that serve, and the number of VMs that serve or
// start, in each slot. Leaving VMs and overdue starts are not counted.
func (p *Planner) count(vms []VM) (serving, present Counts) {
	serving, present = Counts{}, Counts{}
	for _, vm := range vms {
		switch {
		case vm.Leaving, p.overdueStarts[vm.ID]:
			continue
		case !vm.Starting:
			serving[vm.Slot]++
		}
		present[vm.Slot]++
	}
	return serving, present
}

// missing returns a slot for each VM in target that is not in have.
func missing(target, have Counts, offers []Offer) []Slot {
	var out []Slot
	for _, o := range offers {
		for range target[o.Slot] - have[o.Slot] {
			out = append(out, o.Slot)
		}
	}
	return out
}

// replace returns the slots in which to start VMs of a cheaper mix, at most
// MaxReplacements, once there has been such a mix for HoldTime. The mix includes
// the headroom that is required to stop the more expensive VMs.
func (p *Planner) replace(d Demand, offers []Offer, have Counts, now time.Time) []Slot {
	d.RequestsPerSecond *= p.cfg.StopDemandFactor
	ideal, met := Cheapest(d, offers, Counts{})
	if !met || float64(ideal.Cost(offers)) > float64(have.Cost(offers))*(1-p.cfg.MinSaving) {
		p.cheaperSince = time.Time{}
		return nil
	}
	if !hasLasted(&p.cheaperSince, now, p.cfg.HoldTime) {
		return nil
	}
	starts := missing(ideal, have, offers)
	return starts[:min(len(starts), p.cfg.MaxReplacements, max(d.MaxVMs-have.Total(), 0))]
}

// surplus returns the id of the most expensive VM that is not required to meet
// the demand, once there has been such a VM for HoldTime.
func (p *Planner) surplus(d Demand, offers []Offer, serving Counts, vms []VM, now time.Time) []string {
	d.RequestsPerSecond *= p.cfg.StopDemandFactor
	price := map[Slot]float64{}
	for _, o := range offers {
		price[o.Slot] = o.unitPrice()
	}
	candidates := slices.DeleteFunc(slices.Clone(vms), func(vm VM) bool { return vm.Leaving || vm.Starting })
	slices.SortFunc(candidates, func(a, b VM) int {
		return cmp.Or(cmp.Compare(price[b.Slot], price[a.Slot]), cmp.Compare(a.ID, b.ID))
	})
	for _, vm := range candidates {
		serving[vm.Slot]--
		if serving.Meets(d, offers) {
			if hasLasted(&p.surplusSince, now, p.cfg.HoldTime) {
				return []string{vm.ID}
			}
			return nil
		}
		serving[vm.Slot]++
	}
	p.surplusSince = time.Time{}
	return nil
}

// hasLasted reports whether a state that began at *since has lasted for minDuration.
// It sets *since to now if it is zero.
func hasLasted(since *time.Time, now time.Time, minDuration time.Duration) bool {
	if since.IsZero() {
		*since = now
	}
	return now.Sub(*since) >= minDuration
}
