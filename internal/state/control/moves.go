package control

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"coltsfootpath.example/coltsfootpath/internal/state/document"
)

// Move is the state of a version move.
type Move struct {
	// Definition is the move as defined by the newest document that contains it.
	// It no longer changes once the move has ended.
	Definition    document.Move `json:"definition"`
	SharePermille int           `json:"share_permille"`
	Steps         int           `json:"steps"`
	LastStep      *MoveStep     `json:"last_step,omitempty"`
	// Withdrawn is true if a newer document no longer contains the move.
	Withdrawn bool `json:"withdrawn,omitempty"`
	// Cancel is the operator's cancellation, nil for none.
	Cancel      *MoveCancel      `json:"cancel,omitempty"`
	FinalStatus *MoveFinalStatus `json:"statement,omitempty"`
	// FinalStatusOffset is the offset of the final status, 0 while there is none.
	FinalStatusOffset uint64 `json:"ended_at,omitempty"`
}

// MoveCancel requests that a move be rolled back. Any operator may append it; it
// carries no fencing token and takes effect without a lease holder.
type MoveCancel struct {
	Move     string `json:"move"`
	Operator string `json:"operator"`
}

// Promotion records that a finished move made To the serving version. To replaces
// From as long as the document still names From as the serving version.
type Promotion struct {
	Move string `json:"move"`
	From string `json:"from"`
	To   string `json:"to"`
}

// Split is the division of a service's request keys between two versions.
type Split struct {
	ServingVersion string
	// NewVersion is the new version and Move the name of the move. Both are empty if no
	// move to a new version is in progress.
	NewVersion    string
	Move          string
	Step          int
	SharePermille int
}

const (
	// fullSharePermille is the share of a version that gets all keys.
	fullSharePermille = 1000
	// maxEndedMoves bounds the ended moves that the state retains after the
	// document has dropped them.
	maxEndedMoves = 64
)

// inProgress reports whether the move has no final status yet.
func (m Move) inProgress() bool {
	return m.FinalStatus == nil
}

// Halted reports whether the move was withdrawn or cancelled. Such a move can only be
// rolled back.
func (m Move) Halted() bool {
	return m.Withdrawn || m.Cancel != nil
}

func (s *State) applyStep(m *MoveStep) Verdict {
	move, known := s.Moves[m.Move]
	if !known || m.FencingToken != s.Lease.FencingToken || !move.inProgress() || move.Halted() {
		return Conflict
	}
	if m.SharePermille < 0 || m.SharePermille > fullSharePermille {
		return Malformed
	}
	// A lease holder may append a step twice, if it has not read its own first
	// record yet.
	if m.SharePermille <= move.SharePermille {
		return Conflict
	}
	move.SharePermille = m.SharePermille
	move.Steps++
	move.LastStep = m
	s.Moves[m.Move] = move
	return Accepted
}

func (s *State) applyFinalStatus(offset uint64, m *MoveFinalStatus) Verdict {
	move, known := s.Moves[m.Move]
	if !known || m.FencingToken != s.Lease.FencingToken || !move.inProgress() {
		return Conflict
	}
	if m.Result == MoveFinished && move.Halted() {
		return Conflict
	}
	move.SharePermille = 0
	if m.Result == MoveFinished {
		move.SharePermille = fullSharePermille
		s.promote(move.Definition)
	}
	move.FinalStatus = m
	move.FinalStatusOffset = offset
	s.Moves[m.Move] = move
	s.pruneEndedMoves()
	return Accepted
}

// applyCancel sets the new version's share to 0 at once. A lease holder appends
// the final status once it has read the cancellation.
func (s *State) applyCancel(c *MoveCancel) Verdict {
	move, known := s.Moves[c.Move]
	if !known || !move.inProgress() || move.Cancel != nil {
		return Conflict
	}
	move.SharePermille = 0
	move.Cancel = c
	s.Moves[c.Move] = move
	return Accepted
}

// keepsMoveIdentities reports whether every move of the document is either new or has
// the same service and versions as the move of that name in the state. Start,
// deadline and guard may change, but a name is never reused for another move.
func (s *State) keepsMoveIdentities(d *document.Document) bool {
	return len(ReusedMoveNames(s, d)) == 0
}

// ReusedMoveNames returns the names of the document's moves that already belong to
// other moves, or to a withdrawn move that has not ended.
func ReusedMoveNames(s *State, d *document.Document) []string {
	var names []string
	for _, m := range d.Moves {
		known, ok := s.Moves[m.Name]
		if !ok {
			continue
		}
		k := known.Definition
		if k.Service != m.Service || k.From != m.From || k.To != m.To || (known.Withdrawn && known.inProgress()) {
			names = append(names, m.Name)
		}
	}
	return names
}

// updateMoves adds the new moves of the newly accepted document, updates the
// definitions of those in progress, and withdraws the moves in progress that the
// document no longer contains.
func (s *State) updateMoves() {
	contained := map[string]bool{}
	for _, m := range s.Document.Moves {
		contained[m.Name] = true
		move := s.Moves[m.Name]
		if move.inProgress() {
			move.Definition = m
		}
		s.Moves[m.Name] = move
	}
	for name, move := range s.Moves {
		if contained[name] || !move.inProgress() {
			continue
		}
		move.Withdrawn = true
		move.SharePermille = 0
		s.Moves[name] = move
	}
	s.confirmPromotions()
	s.pruneEndedMoves()
}

// promote makes the move's new version the serving version, unless a document has
// removed the service or replaced the move's old version as its serving version.
func (s *State) promote(m document.Move) {
	service, ok := s.Document.Service(m.Service)
	if !ok || s.ServingVersion(service) != m.From {
		return
	}
	promotions := maps.Clone(s.Promotions)
	if promotions == nil {
		promotions = map[string]Promotion{}
	}
	from := m.From
	if before, ok := promotions[m.Service]; ok && before.To == m.From {
		from = before.From
	}
	promotions[m.Service] = Promotion{Move: m.Name, From: from, To: m.To}
	s.Promotions = promotions
}

// confirmPromotions drops the promotions of services whose serving version the
// document has changed, and those whose service or version it no longer contains.
func (s *State) confirmPromotions() {
	promotions := maps.Clone(s.Promotions)
	for name, p := range s.Promotions {
		service, ok := s.Document.Service(name)
		if !ok || service.Serving != p.From {
			delete(promotions, name)
			continue
		}
		if _, ok := service.Version(p.To); !ok {
			delete(promotions, name)
		}
	}
	s.Promotions = promotions
}

// pruneEndedMoves drops the oldest of the ended moves that the document no longer
// contains, and keeps the newest maxEndedMoves of these.
func (s *State) pruneEndedMoves() {
	var ended []string
	for name, m := range s.Moves {
		if !m.inProgress() && !s.documentHasMove(name) {
			ended = append(ended, name)
		}
	}
	if len(ended) <= maxEndedMoves {
		return
	}
	slices.SortFunc(ended, func(a, b string) int { return cmp.Compare(s.Moves[a].FinalStatusOffset, s.Moves[b].FinalStatusOffset) })
	for _, name := range ended[:len(ended)-maxEndedMoves] {
		delete(s.Moves, name)
	}
}

func (s *State) documentHasMove(move string) bool {
	return s.Document != nil && slices.ContainsFunc(s.Document.Moves, func(m document.Move) bool { return m.Name == move })
}

// MovesInProgress returns the names of the moves that have not ended, sorted.
func (s *State) MovesInProgress() []string {
	var names []string
	for name, m := range s.Moves {
		if m.inProgress() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// ServingVersion returns the service's serving version: the document's, or the one that a
// finished move has promoted in its place. A move in progress sends its share of the
// requests to its new version instead.
func (s *State) ServingVersion(service *document.Service) string {
	p, ok := s.Promotions[service.Name]
	if ok && p.From == service.Serving {
		return p.To
	}
	return service.Serving
}

// Split returns the division of the service's keys between versions.
func (s *State) Split(service *document.Service) Split {
	split := Split{ServingVersion: s.ServingVersion(service)}
	for _, m := range s.Document.Moves {
		move := s.Moves[m.Name]
		if m.Service != service.Name || m.From != split.ServingVersion || !move.inProgress() || move.Halted() {
			continue
		}
		split.NewVersion, split.Move = m.To, m.Name
		split.Step, split.SharePermille = move.Steps, move.SharePermille
	}
	return split
}

// String describes the final status in one line.
func (m *MoveFinalStatus) String() string {
	return fmt.Sprintf("%s: %s (%s)", m.Result, m.Reason, m.Evidence)
}
