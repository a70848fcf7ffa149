package serverplaces

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestSharesExceedPlaces: the shares of all VMs are the places of each server, except for the
// guard time of servers with fewer places than VMs, and every VM gets its turn.
func TestSharesExceedPlaces(t *testing.T) {
	for _, vms := range []int{1, 2, 3, 8, 30} {
		var names []string
		for i := range vms {
			names = append(names, fmt.Sprint("vm-", i))
		}
		for _, places := range []int{1, 2, 6, 12, 64} {
			used := map[string]bool{}
			for millis := int64(0); millis < int64(vms)*10*sliceLength.Milliseconds(); millis += 750 {
				total := 0
				for i, name := range names {
					peers := append(append([]string(nil), names[:i]...), names[i+1:]...)
					share := Share(places, 77, name, peers, millis)
					total += share
					used[name] = used[name] || share > 0
				}
				isGuard := places < vms && millis%sliceLength.Milliseconds() < sliceGuard.Milliseconds()
				if isGuard && total != 0 || !isGuard && total != places {
					t.Fatalf("%d VMs, %d places, at %d ms: shares of %d", vms, places, millis, total)
				}
			}
			for name, ok := range used {
				if !ok {
					t.Errorf("%d VMs, %d places: %s never gets one", vms, places, name)
				}
			}
		}
	}
}

// TestNextGranterFillsServer: a granter that knows nothing of the places which the one before
// it has given out goes by the reports of the VMs, until these places are free.
func TestNextGranterFillsServer(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	before, after := NewGranter(), NewGranter()
	before.Take(1, 2, 0, time.Second, now)
	now = now.Add(2 * takeoverTime)
	var leases []uint64
	for range 3 {
		lease, _ := before.Take(1, 2, 0, time.Second, now)
		leases = append(leases, lease)
	}
	if leases[0] == 0 || leases[1] == 0 || leases[2] != 0 {
		t.Errorf("leases %v for 2 places", leases)
	}
	after.Take(1, 2, 2, time.Second, now)
	now = now.Add(takeoverTime)
	if lease, wait := after.Take(1, 2, 2, time.Second, now); lease != 0 || wait <= 0 {
		t.Errorf("lease %d while both places are in use", lease)
	}
	before.Release(1, leases[0])
	lease, _ := after.Take(1, 2, 1, time.Second, now)
	if lease == 0 {
		t.Error("no lease though a place is free")
	}
	// The report is late: it still counts the released place.
	if next, _ := after.Take(1, 2, 2, time.Second, now); next != 0 {
		t.Errorf("lease %d beyond the places", next)
	}
	if next, _ := after.Take(1, 2, 0, time.Second, now.Add(2*time.Second)); next == 0 {
		t.Error("no lease though the time of the last one has passed")
	}
}

// TestPlacesAreExceededOrWasted: VMs with more requests than places, in virtual time. What runs
// at the same time never exceeds the places, and at least 0.8 of them are in use.
func TestPlacesAreExceededOrWasted(t *testing.T) {
	const step, callTime, duration = time.Millisecond, 2 * time.Millisecond, 20 * time.Second
	for _, v := range []struct {
		vms, places int
		work        time.Duration
	}{{8, 2, 200 * time.Millisecond}, {8, 6, 30 * time.Millisecond}, {88, 6, 30 * time.Millisecond}, {30, 12, 3 * time.Second}, {8, 64, 2 * time.Second}, {62, 64, time.Second}} {
		var names []string
		for i := range v.vms {
			names = append(names, fmt.Sprint("vm-", i))
		}
		start, granter := time.Unix(1_800_000_000, 0), NewGranter()
		shares := make([]int, v.vms)
		for vm, name := range names {
			peers := append(append([]string(nil), names[:vm]...), names[vm+1:]...)
			shares[vm] = Share(v.places, 1, name, peers, start.UnixMilli())
		}
		type running struct {
			vm    int
			lease uint64
			end   time.Time
		}
		var open []running
		askAt, own := make([]time.Time, v.vms), make([]int, v.vms)
		used, offered := 0, 0
		for now := start; now.Before(start.Add(duration)); now = now.Add(step) {
			open = slices.DeleteFunc(open, func(r running) bool {
				if now.Before(r.end) {
					return false
				}
				own[r.vm]--
				granter.Release(1, r.lease)
				return true
			})
			for vm := range names {
				if v.places >= v.vms {
					if own[vm] < shares[vm] {
						own[vm]++
						open = append(open, running{vm, 0, now.Add(v.work)})
					}
					continue
				}
				if now.Before(askAt[vm]) {
					continue
				}
				lease, wait := granter.Take(1, v.places, len(open), time.Minute, now)
				askAt[vm] = now.Add(callTime + wait)
				if lease > 0 {
					own[vm]++
					open = append(open, running{vm, lease, now.Add(callTime + v.work)})
				}
			}
			if len(open) > v.places {
				t.Fatalf("%+v: %d requests run at the same time", v, len(open))
			}
			if now.Sub(start) > takeoverTime {
				used, offered = used+len(open), offered+v.places
			}
		}
		if float64(used) < 0.8*float64(offered) {
			t.Errorf("%+v: %.2f of the places are used", v, float64(used)/float64(offered))
		}
	}
}
