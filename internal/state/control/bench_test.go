package control

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"coltsfootpath.example/coltsfootpath/internal/state/document"
)

// documentWithWorkspaces returns a document with the given number of workspaces,
// each with its own service of two routes.
func documentWithWorkspaces(workspaces int) *document.Document {
	doc := &document.Document{}
	for i := range workspaces {
		name := fmt.Sprintf("service-%04d", i)
		doc.Services = append(doc.Services, document.Service{
			Name: name, Kind: document.ModelService, Serving: "v1",
			Versions: []document.Version{{Name: "v1", Model: name + "-v1"}, {Name: "v2", Model: name + "-v2"}},
			Routes:   []document.Route{{Name: "ask", Repeatable: true}, {Name: "summaries", Repeatable: true}},
		})
		doc.Workspaces = append(doc.Workspaces, document.Workspace{
			Name: fmt.Sprintf("workspace-%04d", i), TokenSHA256: strings.Repeat("0", 64),
			RequestsPerSecond: 10, Routes: []string{name + "/ask", name + "/summaries"},
		})
	}
	doc.SetDefaults()
	return doc
}

// BenchmarkDocumentApply measures the check of a document and the replay of its
// record, by the number of workspaces.
func BenchmarkDocumentApply(b *testing.B) {
	for _, workspaces := range []int{5, 50, 500} {
		data, err := json.Marshal(documentWithWorkspaces(workspaces))
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("check/workspaces=%d", workspaces), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := document.Decode(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "document-B")
		})
		b.Run(fmt.Sprintf("replay/workspaces=%d", workspaces), func(b *testing.B) {
			b.ReportAllocs()
			record, err := Encode(Record{
				Writer:   WriterID{Incarnation: "bench", Sequence: 1},
				Document: &DocumentSubmission{Base: 0, Document: documentWithWorkspaces(workspaces)},
			})
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				r, err := Decode(record)
				if err != nil {
					b.Fatal(err)
				}
				if v := New().Apply(1, r); v != Accepted {
					b.Fatal(v)
				}
			}
			b.ReportMetric(float64(len(record)), "record-B")
		})
	}
}

// BenchmarkReplay measures the replay of one lease renewal, by the number of moves in
// the state.
func BenchmarkReplay(b *testing.B) {
	for _, moves := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("moves=%d", moves), func(b *testing.B) {
			b.ReportAllocs()
			s := New()
			for i := range moves {
				s.Moves[fmt.Sprintf("move-%d", i)] = Move{}
			}
			if v := s.Apply(1, Record{Writer: WriterID{Incarnation: "bench", Sequence: 1}, Claim: &LeaseClaim{}}); v != Accepted {
				b.Fatal(v)
			}
			offset := uint64(1)
			for b.Loop() {
				offset++
				record, err := Encode(Record{Writer: WriterID{Incarnation: "bench", Sequence: offset}, Renewal: &LeaseRenewal{FencingToken: 1}})
				if err != nil {
					b.Fatal(err)
				}
				r, err := Decode(record)
				if err != nil {
					b.Fatal(err)
				}
				s = s.Clone()
				if v := s.Apply(offset, r); v != Accepted {
					b.Fatal(v)
				}
			}
		})
	}
}
