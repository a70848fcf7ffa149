package zoneevacuation

import (
	"slices"
	"testing"
	"time"
)

var epoch = time.Unix(1_900_000_000, 0)

func TestTwoZonesAreEvacuatedAndTakenBack(t *testing.T) {
	table := NewTable()
	if !table.MaySend("a") || len(table.Evacuated()) > 0 {
		t.Fatal("a zone is evacuated at the start")
	}
	if !table.Evacuate("b", epoch) || !table.Evacuate("a", epoch) || table.Evacuate("a", epoch.Add(time.Second)) {
		t.Error("an evacuation is new once")
	}
	if got := table.Evacuated(); !slices.Equal(got, []string{"a", "b"}) || table.MaySend("a") || table.MaySend("b") || !table.MaySend("c") {
		t.Errorf("evacuated: %v", got)
	}
	if after, ok := table.TakeBack("a", epoch.Add(3*time.Second)); !ok || after != 3*time.Second {
		t.Errorf("taken back after %v, %v", after, ok)
	}
	if _, ok := table.TakeBack("a", epoch); ok {
		t.Error("a zone that is used was taken back")
	}
	if !table.MaySend("a") || table.MaySend("b") {
		t.Error("the wrong zone was taken back")
	}
	if now := epoch.Add(5 * time.Second); !table.WasTakenBackWithin(2*time.Second, now) || table.WasTakenBackWithin(time.Second, now) {
		t.Error("the time of the return is wrong")
	}
	if !table.Evacuate("a", epoch.Add(9*time.Second)) || table.MaySend("a") {
		t.Error("the zone can't be evacuated again")
	}
}

func TestZoneIsEmptyOnce(t *testing.T) {
	table := NewTable()
	if _, isNew := table.RecordEmpty("a", epoch); isNew {
		t.Error("a zone that is used became empty")
	}
	table.Evacuate("a", epoch)
	if after, isNew := table.RecordEmpty("a", epoch.Add(time.Second)); !isNew || after != time.Second {
		t.Errorf("empty after %v, %v", after, isNew)
	}
	if _, isNew := table.RecordEmpty("a", epoch.Add(2*time.Second)); isNew {
		t.Error("the zone became empty twice")
	}
}
