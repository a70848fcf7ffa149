package fleetplan

import (
	"maps"
	"testing"
)

func TestCountsOutsideZones(t *testing.T) {
	a, b := Slot{AvailabilityZone: "a"}, Slot{AvailabilityZone: "b", Reclaimable: true}
	all := Counts{a: 2, b: 3}
	if got := all.Outside([]string{"a", "c"}); !maps.Equal(got, Counts{b: 3}) {
		t.Errorf("got %v", got)
	}
	if got := all.Outside(nil); !maps.Equal(got, all) {
		t.Errorf("got %v", got)
	}
	desired := Counts{b: 5}
	desired.KeepAll(all)
	if !maps.Equal(desired, Counts{a: 2, b: 5}) {
		t.Errorf("got %v", desired)
	}
}
