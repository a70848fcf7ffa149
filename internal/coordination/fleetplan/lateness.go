package fleetplan

import "time"

// LatenessConfig configures how the utilization up to which answers begin in time is
// learned. The model of the work that requests are does not fit all engines and prompts.
type LatenessConfig struct {
	// Window is the time over which answers are counted, and MinAnswers the number of
	// them from which on their share is judged.
	Window     time.Duration
	MinAnswers float64
	// MaxLateShare is the share of answers that may begin late.
	MaxLateShare float64
	// MaxReduction bounds the share by which the limit is lowered at once.
	MaxReduction float64
	// MinUtilization is the lowest limit. Answers may be late for reasons that more VMs do
	// not change.
	MinUtilization float64
	// SettleTime is the time after a change of the limit until its effect shows: VMs are
	// ordered, and serve.
	SettleTime time.Duration
	// CalmTime is the time without late answers after which the limit is raised, by
	// RaisePerSecond of itself.
	CalmTime       time.Duration
	RaisePerSecond float64
}

// utilizationLimit is the highest utilization at which answers are expected to begin in
// time, as learned from late answers.
type utilizationLimit struct {
	cfg     LatenessConfig
	samples []answerSample
	// value is 0 while nothing is learned.
	value float64
	// settledAt is the time from which the limit may be lowered again, lateAt the last time at
	// which too many answers were late, and raisedAt that of the last step up.
	settledAt, lateAt, raisedAt time.Time
}

// answerSample is the cumulative number of answers at a time, and of late ones among them.
type answerSample struct {
	at             time.Time
	answered, late float64
}

// record records the cumulative numbers of answers and of late ones, with the utilization at
// the time. It reports whether the limit was lowered, and the share of late answers.
func (u *utilizationLimit) record(s answerSample, utilization, highest float64) (lowered bool, lateShare float64) {
	u.samples = append(u.samples, s)
	for len(u.samples) > 2 && s.at.Sub(u.samples[1].at) >= u.cfg.Window {
		u.samples = u.samples[1:]
	}
	first := u.samples[0]
	answered := s.answered - first.answered
	if answered < u.cfg.MinAnswers {
		return false, 0
	}
	lateShare = (s.late - first.late) / answered
	switch {
	case lateShare > u.cfg.MaxLateShare:
		u.lateAt = s.at
		if utilization <= 0 || s.at.Before(u.settledAt) {
			return false, lateShare
		}
		limit := max(utilization*(1-min(lateShare, u.cfg.MaxReduction)), u.cfg.MinUtilization)
		if limit >= highest || u.value > 0 && limit >= u.value {
			return false, lateShare
		}
		u.value, u.settledAt, u.raisedAt = limit, s.at.Add(u.cfg.SettleTime), s.at
		return true, lateShare
	case u.value > 0 && s.at.Sub(u.lateAt) > u.cfg.CalmTime:
		u.value *= 1 + u.cfg.RaisePerSecond*s.at.Sub(u.raisedAt).Seconds()
		u.raisedAt = s.at
		if u.value >= highest {
			u.value = 0
		}
	default:
		u.raisedAt = s.at
	}
	return false, lateShare
}

// bound returns the utilization to plan with, at most the configured one.
func (u *utilizationLimit) bound(configured float64) float64 {
	if u.value == 0 {
		return configured
	}
	return min(configured, u.value)
}
