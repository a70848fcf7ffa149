package document

import (
	"encoding/json"
	"reflect"
	"strings"

	"coltsfootpath.example/coltsfootpath/internal/findings"
	"coltsfootpath.example/coltsfootpath/internal/strictjson"
)

// MaxBytes bounds the size of an encoded document.
const MaxBytes = 1 << 20

// Decode strictly decodes a document, fills in defaults and validates it.
// It returns all findings together, each with its field path, as a
// *findings.Error.
func Decode(data []byte) (*Document, error) {
	var found findings.List
	if len(data) > MaxBytes {
		found.Addf("document", "is %d bytes long, at most %d are allowed", len(data), MaxBytes)
		return nil, found.Err()
	}
	accepted := strictjson.Decode(data, reflect.TypeFor[Document](), strictjson.Options{Root: "document"}, &found)
	if accepted == nil {
		return nil, found.Err()
	}
	var doc Document
	if err := json.Unmarshal(accepted, &doc); err != nil {
		found.Addf("document", "%v", err)
		return nil, found.Err()
	}
	doc.SetDefaults()
	var invalid findings.List
	doc.validate(&invalid)
	addFindingsNotCovered(&found, invalid.Items())
	if err := found.Err(); err != nil {
		return nil, err
	}
	return &doc, nil
}

// addFindingsNotCovered adds the candidates whose field paths no earlier finding
// covers, so that a value of the wrong type is not also reported as missing.
func addFindingsNotCovered(found *findings.List, candidates []findings.Finding) {
	earlier := found.Items()
	for _, f := range candidates {
		if !isCovered(f.Path, earlier) {
			found.Addf(f.Path, "%s", f.Problem)
		}
	}
}

// isCovered reports whether path is the field path of one of the findings, or lies
// within it.
func isCovered(path string, earlier []findings.Finding) bool {
	for _, f := range earlier {
		rest, ok := strings.CutPrefix(path, f.Path)
		if ok && (rest == "" || rest[0] == '.' || rest[0] == '[') {
			return true
		}
	}
	return false
}
