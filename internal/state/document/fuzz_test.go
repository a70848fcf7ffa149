package document

import (
	"encoding/json"
	"testing"
)

const completeDocument = `{"services":[{"name":"ledger","kind":"plain","versions":[{"name":"v1"}],"serving":"v1",
"routes":[{"name":"deposit","repeatable":false}]}],"workspaces":[{"name":"branches",
"token_sha256":"0000000000000000000000000000000000000000000000000000000000000000","requests_per_second":5,
"routes":["ledger/deposit"]}],"moves":[],"fleet":{"classes":["small"],"allow_reclaimable":true}}`

// FuzzDecode checks that an accepted document is still accepted after it has been
// encoded again.
func FuzzDecode(f *testing.F) {
	for _, text := range []string{completeDocument, completeDocument + "x", `{}`, `null`, `[]`, `{"services":null,"moves":[{}]}`, `{"unknown":1}`,
		`{"moves":[{"name":"m","service":"s","from":"a","to":"b","start":"9999-12-31T23:59:59Z"}]}`, "\xff", `{"services":[{"target":{"answer_ms":1e9}}]}`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := Decode(data)
		if err != nil {
			return
		}
		encoded, err := json.Marshal(doc)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(encoded); err != nil && len(encoded) <= MaxBytes {
			t.Fatalf("%s\nis accepted, but its encoding is rejected:\n%s\n%v", data, encoded, err)
		}
	})
}
