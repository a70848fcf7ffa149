package coordinator

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"k8s.io/klog/v2"

	"coltsfootpath.example/coltsfootpath/internal/protocol/adminapi"
	"coltsfootpath.example/coltsfootpath/internal/state/document"
	"coltsfootpath.example/coltsfootpath/internal/state/fleet"
	"coltsfootpath.example/coltsfootpath/internal/transport/httpserver"
)

const maxSubmitBytes = 2 * document.MaxBytes

func (c *Coordinator) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+adminapi.DocumentPath, c.submit)
	mux.HandleFunc("GET "+adminapi.DocumentPath, c.showDocument)
	mux.HandleFunc("GET "+adminapi.HistoryPath, c.showHistory)
	mux.HandleFunc("GET "+adminapi.StatusPath, c.showStatus)
	mux.HandleFunc("GET "+adminapi.MovesPath, c.showMoves)
	mux.HandleFunc("POST "+adminapi.CancelPath, c.cancelMove)
	mux.HandleFunc("GET "+adminapi.BurnPath, c.showBurn)
	return c.requireToken(mux)
}

// requireToken rejects requests that don't carry the admin token.
func (c *Coordinator) requireToken(next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(c.settings.AdminToken))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		got := sha256.Sum256([]byte(token))
		if !ok || subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			httpserver.WriteJSON(w, http.StatusUnauthorized, adminapi.ErrorAnswer{Error: "the admin token is missing or wrong"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (c *Coordinator) showMoves(w http.ResponseWriter, _ *http.Request) {
	s := c.replay.State()
	answer := adminapi.MovesAnswer{Revision: s.Revision}
	answer.Moves = moveStatuses(s)
	httpserver.WriteJSON(w, http.StatusOK, answer)
}

func (c *Coordinator) showStatus(w http.ResponseWriter, r *http.Request) {
	s := c.replay.State()
	_, holdsLease := c.leases.fencingToken()
	answer := adminapi.StatusAnswer{
		VM:          c.settings.VM,
		Revision:    s.Revision,
		ControlNext: s.Next,
		CaughtUp:    c.follower.CaughtUp(),
		Complete:    c.replay.Complete(),
		Checkpoint:  s.Checkpoint,
		LogReadAt:   c.follower.ReadAt(),
		Lease:       s.Lease,
		HoldsLease:  holdsLease,
	}
	vms, err := c.deps.Cloud.ListVMs(r.Context())
	if err != nil {
		klog.V(1).Infof("coordinator: VM list unavailable err=%q", err)
	}
	for _, vm := range vms {
		if vm.Role == fleet.EntryRole {
			answer.Entries = append(answer.Entries, adminapi.EntryVM{VM: vm.ID, AvailabilityZone: vm.AvailabilityZone, Address: vm.Address, Leaving: vm.Leaving})
			continue
		}
		answer.Backends = append(answer.Backends, adminapi.BackendServer{VM: vm.ID, AvailabilityZone: vm.AvailabilityZone, Role: string(vm.Role), Leaving: vm.Leaving})
	}
	httpserver.WriteJSON(w, http.StatusOK, answer)
}
