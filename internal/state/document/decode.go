package document

import (
	"encoding/json"
	"reflect"

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
	found.AddNotCovered(invalid.Items())
	if err := found.Err(); err != nil {
		return nil, err
	}
	return &doc, nil
}
