package lab

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"

	"coltsfootpath.example/coltsfootpath/internal/state/document"
)

type httpHandler = http.Handler

const (
	assistantService = "assistant"
	ledgerService    = "ledger"
	modelV1          = "savings-7b-v1"
	modelV2          = "savings-7b-v2"

	routeSummaries = "summaries"
	routeClerk     = "clerk-questions"
	routeTags      = "letter-tags"
	routeDeposit   = "deposit"
	routeBalance   = "balance"
)

// workspaceNames lists the five workspaces, the largest first.
var workspaceNames = []string{"statements", "branches", "letters", "trnava", "piestany"}

// workspaceToken returns the bearer token of a lab workspace.
func workspaceToken(name string) string {
	return "lab-token-" + name
}

// Document returns the configuration document that the lab submits.
func Document() *document.Document {
	doc := &document.Document{
		Services: []document.Service{{
			Name:     assistantService,
			Kind:     document.ModelService,
			Versions: []document.Version{{Name: "v1", Model: modelV1}, {Name: "v2", Model: modelV2}},
			Serving:  "v1",
			Routes: []document.Route{
				{Name: routeSummaries, Priority: document.Batch, Repeatable: true},
				{Name: routeClerk, Priority: document.Interactive, Repeatable: true},
				{Name: routeTags, Priority: document.Normal, Repeatable: true},
			},
		}, {
			Name:     ledgerService,
			Kind:     document.PlainService,
			Versions: []document.Version{{Name: "v1"}},
			Serving:  "v1",
			Routes: []document.Route{
				{Name: routeDeposit, Priority: document.Interactive},
				{Name: routeBalance, Priority: document.Interactive, Repeatable: true},
			},
		}},
		Fleet: document.Fleet{Classes: []string{engineClass}, AllowReclaimable: true},
	}
	for i, name := range workspaceNames {
		sum := sha256.Sum256([]byte(workspaceToken(name)))
		doc.Workspaces = append(doc.Workspaces, document.Workspace{
			Name:              name,
			TokenSHA256:       hex.EncodeToString(sum[:]),
			Weight:            len(workspaceNames) - i,
			RequestsPerSecond: 400,
			Burst:             400,
			Routes: []string{
				assistantService + "/" + routeSummaries, assistantService + "/" + routeClerk, assistantService + "/" + routeTags,
				ledgerService + "/" + routeDeposit, ledgerService + "/" + routeBalance,
			},
		})
	}
	doc.SetDefaults()
	return doc
}
