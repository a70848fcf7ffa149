package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	// maxNamedTime is the time after its end for which a VM may still be named to callers: the
	// bound of contact of the deployment with 65 VMs and 3 s.
	maxNamedTime = 7 * time.Second
	// freezeTime is the duration of a VM's suspension.
	freezeTime = 5 * time.Second
)

// fleet is a cluster in which VMs end together, or are suspended. What is sent to a suspended VM
// waits until it wakes.
type fleet struct {
	*cluster
	frozen map[*vm][]Digest
	cut    map[*vm]bool
	// endedAt holds the time at which VMs were killed, by their addresses for callers.
	endedAt map[string]time.Time
	// longest is the longest time after a VM's end for which a running VM named it, with the
	// one that did.
	longest  time.Duration
	longName string
}

func newFleet(vms, zones int) *fleet {
	return &fleet{cluster: newCluster(vms, zones), frozen: map[*vm][]Digest{}, cut: map[*vm]bool{}, endedAt: map[string]time.Time{}}
}

func (f *fleet) step(periods int) {
	byAddress := map[string]*vm{}
	for _, v := range f.vms {
		byAddress[v.id.PeerAddress] = v
	}
	for range periods {
		f.now = f.now.Add(period)
		for _, v := range f.vms {
			if _, isFrozen := f.frozen[v]; !v.down && !isFrozen {
				f.tick(v, byAddress)
			}
		}
		f.observe()
	}
}

func (f *fleet) tick(v *vm, byAddress map[string]*vm) {
	own := Digest{WallMillis: f.now.UnixMilli()}
	own.Ready = true
	for _, m := range v.core.Tick(own, f.now) {
		to := byAddress[m.To]
		if to == nil || to.down || f.cut[v] || f.cut[to] {
			continue
		}
		if queue, isFrozen := f.frozen[to]; isFrozen {
			f.frozen[to] = append(queue, *m.Digest)
			continue
		}
		copied := *m.Digest
		to.core.Receive(&copied, f.now)
	}
}

func (f *fleet) observe() {
	for _, v := range f.vms {
		if _, isFrozen := f.frozen[v]; v.down || isFrozen {
			continue
		}
		for _, x := range v.core.ServingPeers(f.now) {
			if at, ended := f.endedAt[x.CallerAddress]; ended && f.now.Sub(at) > f.longest {
				f.longest, f.longName = f.now.Sub(at), v.id.VM
			}
		}
	}
}

// kill ends a VM without a message.
func (f *fleet) kill(v *vm) {
	v.down = true
	f.endedAt[v.id.CallerAddress] = f.now
}

// wake ends the suspension of a VM, which receives first what was sent to it.
func (f *fleet) wake(v *vm) {
	queue := f.frozen[v]
	delete(f.frozen, v)
	for i := range queue {
		v.core.Receive(&queue[i], f.now)
	}
}

// TestEndedVMsLeaveTheDirectory: a third of all VMs end in the same second, hubs among them or
// not, while some of the others are suspended, or isolated from all.
func TestEndedVMsLeaveTheDirectory(t *testing.T) {
	for _, size := range []struct {
		vms, zones int
		seeds      uint64
	}{{12, 3, 3}, {65, 4, 3}, {300, 6, 1}} {
		for seed := range size.seeds {
			for _, fault := range []string{"none", "suspended", "isolated", "hubs suspended"} {
				t.Run(fmt.Sprintf("%d VMs, seed %d, %s", size.vms, seed, fault), func(t *testing.T) {
					f := newFleet(size.vms, size.zones)
					random := rand.New(rand.NewPCG(seed, 40))
					f.step(50)
					order := random.Perm(size.vms)
					if fault == "hubs suspended" {
						for i := range order {
							order[i] = size.vms - 1 - i
						}
					}
					ended, others := order[:size.vms/3], order[size.vms/3:]
					affected := others[len(others)-max(size.vms/8, 1):]
					for _, i := range affected {
						switch fault {
						case "suspended", "hubs suspended":
							f.frozen[f.vms[i]] = nil
						case "isolated":
							f.cut[f.vms[i]] = true
						}
					}
					f.step(3)
					for n, i := range ended {
						f.kill(f.vms[i])
						if n%(len(ended)/4+1) == 0 {
							f.step(1)
						}
					}
					f.step(int(freezeTime / period))
					for _, i := range affected {
						delete(f.cut, f.vms[i])
						f.wake(f.vms[i])
					}
					f.step(50)
					t.Logf("named for %v, by %s", f.longest, f.longName)
					if f.longest > maxNamedTime {
						t.Errorf("a VM is named %v after its end, by %s", f.longest, f.longName)
					}
					named := f.vms[others[0]].core.ServingPeers(f.now)
					if len(named) < 2 {
						t.Errorf("%d VMs are named at the end", len(named))
					}
				})
			}
		}
	}
}
