package gossip

import "time"

// queueTime is the time after a suspension of this VM in which it receives digests that were
// sent during it.
const queueTime = time.Second

// noteSuspension recognizes by the time since the last period that this VM was suspended.
func (c *Core) noteSuspension(now time.Time) {
	if !c.lastTickAt.IsZero() && now.Sub(c.lastTickAt) > c.cfg.FreshTimeout {
		c.queuedUntil = now.Add(queueTime)
	}
}

// isQueued reports whether a digest has waited for the end of this VM's suspension. Its sender
// may have ended since, and would be taken for reachable and passed on to others as such. How
// long a digest has waited shows in the sender's time of day, compared with that of the last
// digest before. A sender without a known offset, or whose clock has jumped back during the
// suspension, is heard again after queueTime at the latest.
func (c *Core) isQueued(p *peer, d *Digest, now time.Time) bool {
	c.noteSuspension(now)
	offset := time.Duration(d.WallMillis)*time.Millisecond - now.Sub(p.addedAt)
	if now.Before(c.queuedUntil) && (p.lastReceivedAt.IsZero() || p.clockOffset-offset > c.cfg.FreshTimeout/2) {
		return d.WallMillis > 0
	}
	p.clockOffset = offset
	return false
}
