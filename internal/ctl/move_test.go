package ctl

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/protocol/adminapi"
	"coltsfootpath.example/coltsfootpath/internal/state/control"
	"coltsfootpath.example/coltsfootpath/internal/state/document"
)

// movesServer returns the options for a coordinator that answers with the moves.
func movesServer(t *testing.T, moves ...adminapi.MoveStatus) *options {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(adminapi.MovesAnswer{Moves: moves})
	}))
	t.Cleanup(server.Close)
	return &options{admin: strings.TrimPrefix(server.URL, "http://"), output: outputTable, timeout: 10 * time.Second}
}

func runMoveCommand(o *options, args ...string) (string, error) {
	var out strings.Builder
	o.out = &out
	cmd := moveCommand(o)
	cmd.SetArgs(args)
	cmd.SilenceUsage, cmd.SilenceErrors = true, true
	err := cmd.ExecuteContext(context.Background())
	return out.String(), err
}

func TestMoveStatusShowsTheFinalStatus(t *testing.T) {
	at := time.Date(2026, 1, 1, 10, 0, 0, 0, time.UTC)
	o := movesServer(t, adminapi.MoveStatus{
		Move: document.Move{Name: "to-v2", Service: "assistant", From: "v1", To: "v2"},
		Progress: control.Move{FinalStatus: &control.MoveFinalStatus{
			Result: control.MoveRolledBack, Reason: "it failed", Evidence: "10 of 19", At: at,
		}},
	})
	out, err := runMoveCommand(o, "status", "to-v2")
	if err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{"taken_back", "it failed", "10 of 19", "2026-01-01T10:00:00Z", "0.0%"} {
		if !strings.Contains(out, part) {
			t.Errorf("%q is missing in:\n%s", part, out)
		}
	}
}

func TestMoveStatusOfAnUnknownMoveFails(t *testing.T) {
	if _, err := runMoveCommand(movesServer(t), "status", "to-v2"); err == nil {
		t.Fatal("no error")
	}
}

func TestHaltedMoveIsNotShownAsUnderWay(t *testing.T) {
	o := movesServer(t, adminapi.MoveStatus{
		Move:     document.Move{Name: "to-v2"},
		Progress: control.Move{Cancel: &control.MoveCancel{Operator: "aya"}},
	})
	out, err := runMoveCommand(o, "status", "to-v2")
	if err != nil || !strings.Contains(out, "being taken back") || !strings.Contains(out, "aya") {
		t.Fatal(out, err)
	}
}
