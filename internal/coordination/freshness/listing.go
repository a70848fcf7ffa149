package freshness

import (
	"math/bits"
	"time"
)

const (
	// firstListingWait is the time that the readers have to list a topic and to pass it on,
	// before VMs that are no readers list it too.
	firstListingWait = 800 * time.Millisecond
	// listingStage is the time between the starts of the listings of one stage and those of
	// the next, in which twice as many VMs list as in all stages before.
	listingStage = 400 * time.Millisecond
	// maxListingWait bounds the wait of a VM that no peer answers.
	maxListingWait = 3500 * time.Millisecond
)

// ListingDelay returns the time for which a VM without a copy of a topic waits for that of a
// peer before it lists the topic from the store. If all VMs start at once, each listing
// transfers all records, so the readers list first, and the numbers of VMs that list double
// with each further stage. A VM that all its peers leave without an answer lists at last.
func ListingDelay(r Role) time.Duration {
	if r.IsReader || r.Readers < 1 {
		return 0
	}
	stage := max(bits.Len(uint(r.Rank/r.Readers)), 1)
	return min(firstListingWait+time.Duration(stage-1)*listingStage, maxListingWait)
}
