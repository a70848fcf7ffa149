package document

// Defaults of optional fields.
const (
	DefaultFirstTokenMillis   = 1700
	DefaultBetweenTokenMillis = 33
	DefaultAnswerMillis       = 10_000
	DefaultWeight             = 1
	DefaultBurst              = 20
	DefaultFailureIncrease    = 0.02
	DefaultSlowdown           = 1.5
	DefaultMaxVMs             = 64
)

// SetDefaults sets every absent optional field to its default.
func (d *Document) SetDefaults() {
	for i := range d.Services {
		d.Services[i].setDefaults()
	}
	for i := range d.Workspaces {
		w := &d.Workspaces[i]
		setIntDefault(&w.Weight, DefaultWeight)
		setIntDefault(&w.Burst, DefaultBurst)
	}
	for i := range d.Moves {
		g := &d.Moves[i].Guard
		setFloatDefault(&g.FailureIncrease, DefaultFailureIncrease)
		setFloatDefault(&g.Slowdown, DefaultSlowdown)
	}
	setIntDefault(&d.Fleet.MaxVMs, DefaultMaxVMs)
}

func (s *Service) setDefaults() {
	if s.Serving == "" && len(s.Versions) == 1 {
		s.Serving = s.Versions[0].Name
	}
	for i := range s.Routes {
		if s.Routes[i].Priority == "" {
			s.Routes[i].Priority = Normal
		}
	}
	setIntDefault(&s.Target.FirstTokenMillis, DefaultFirstTokenMillis)
	setIntDefault(&s.Target.BetweenTokenMillis, DefaultBetweenTokenMillis)
	setIntDefault(&s.Target.AnswerMillis, DefaultAnswerMillis)
}

func setIntDefault(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

func setFloatDefault(field *float64, value float64) {
	if *field == 0 {
		*field = value
	}
}
