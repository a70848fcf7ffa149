package freshness

import "testing"

// TestListingsBeginInStages: the number of VMs that list the store by themselves at most
// doubles from stage to stage, and the last VM's wait is bounded.
func TestListingsBeginInStages(t *testing.T) {
	const readers = 4
	for _, vms := range []int{17, 65, 301, 1000, 5000} {
		begun := 0
		byDelay := map[int64]int{}
		for rank := range vms {
			r := Role{IsReader: rank < readers, Rank: rank, Readers: readers}
			d := ListingDelay(r)
			if r.IsReader != (d == 0) || d > maxListingWait {
				t.Fatalf("%d VMs: delay %v of the VM with rank %d", vms, d, rank)
			}
			byDelay[int64(d)]++
		}
		for _, rank := range []int{0, readers, 2 * readers, 4 * readers, 8 * readers, 16 * readers} {
			if rank >= vms {
				break
			}
			count := byDelay[int64(ListingDelay(Role{IsReader: rank < readers, Rank: rank, Readers: readers}))]
			if begun > 0 && count > begun {
				t.Errorf("%d VMs: %d begin in the stage of rank %d after %d in all stages before", vms, count, rank, begun)
			}
			begun += count
		}
	}
}
