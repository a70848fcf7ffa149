package document

import (
	"encoding/json"
	"errors"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"coltsfootpath.example/coltsfootpath/internal/findings"
	"coltsfootpath.example/coltsfootpath/internal/strictjson"
)

func demoDocument(t interface{ Fatal(...any) }) string {
	data, err := os.ReadFile("../../../demo/document.json")
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func decodeFindings(t interface{ Fatal(...any) }, text string) []string {
	_, err := Decode([]byte(text))
	var list *findings.Error
	if err != nil && !errors.As(err, &list) {
		t.Fatal(err)
	}
	var out []string
	if list != nil {
		for _, f := range list.Findings {
			out = append(out, f.String())
		}
	}
	return out
}

const documentWithFaults = `{
  "services": [
    {"name": "a", "kind": "model", "versions": [{"name": "v1", "modell": "m"}], "serving": 3, "routes": [{"name": "r", "repeatable": "yes"}],
     "target": {"first_token_ms": 0, "between_token_ms": 1.5}},
    "b"
  ],
  "workspaces": [{"name": "w", "Name": "x", "token_sha256": null, "weight": -1, "requests_per_second": 1e9, "routes": ["a/none"]}],
  "moves": [
    {"name": "m", "service": "a", "from": "v1", "to": "v1", "start": "2030-01-01T00:00:00Z", "deadline": "2029-01-01T00:00:00Z"},
    {"name": "n", "service": "a", "from": "v1", "to": "v2", "start": "2030-01-01T00:00:00Z", "deadline": "tomorrow", "guard": {"slowdown": 0.5}}
  ],
  "fleet": [],
  "fleet": {"max_vms": 1},
  "extra": {"deep": [1, {"er": 2}]}
}`

func TestFindingsNameTheirFieldPath(t *testing.T) {
	got := decodeFindings(t, documentWithFaults)
	want := []string{
		"services[0].versions[0].modell: is not a field of the document",
		"services[0].serving: must be a text, not 3",
		`services[0].routes[0].repeatable: must be true or false, not "yes"`,
		"services[0].target.first_token_ms: must be 1 to 600000, not 0",
		"services[0].target.between_token_ms: must be a whole number, not 1.5",
		`services[1]: must be an object, not "b"`,
		"workspaces[0].Name: is not a field of the document",
		"workspaces[0].token_sha256: must be a text, not null",
		"workspaces[0].weight: must be 1 to 1000, not -1",
		"workspaces[0].requests_per_second: must be 0.001 to 1000000, not 1e9",
		`moves[1].deadline: must be a time such as 2030-01-31T08:00:00Z, not "tomorrow"`,
		"moves[1].guard.slowdown: must be 1 to 100, not 0.5",
		"fleet: must be an object, not an array",
		"fleet: appears twice",
		"extra: is not a field of the document",
		"services[0].versions[0].model: is required for a model service",
		`workspaces[0].routes[0]: "a/none" is not a service/route of this document`,
		"moves[0].to: is the same version as from",
		"moves[0].deadline: must be after the start",
		`moves[1].service: "a" is already moved by moves[0]`,
		`moves[1].to: "v2" is not a version of service "a"`,
	}
	if !slices.Equal(got, want) {
		t.Fatalf("got:\n%s\nwant:\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

func TestDecodeRejectsInvalidInput(t *testing.T) {
	valid := demoDocument(t)
	for name, text := range map[string]string{
		"empty": "", "truncated": valid[:len(valid)/2], "trailing": valid + "{}", "not JSON": "{'a'}", "array": "[]",
		"null": "null", "too long": valid + strings.Repeat(" ", MaxBytes),
	} {
		if got := decodeFindings(t, text); len(got) == 0 || !strings.HasPrefix(got[0], "document: ") {
			t.Errorf("%s: %v", name, got)
		}
	}
	if got := decodeFindings(t, valid); got != nil {
		t.Error(got)
	}
}

// TestEveryInjectedFaultIsReported injects faults at random field paths of a valid
// document and expects a finding for each.
func TestEveryInjectedFaultIsReported(t *testing.T) {
	valid := demoDocument(t)
	rapid.Check(t, func(t *rapid.T) {
		var doc map[string]any
		if err := json.Unmarshal([]byte(valid), &doc); err != nil {
			t.Fatal(err)
		}
		var paths []string
		injectFaults(t, doc, "", &paths)
		data, _ := json.Marshal(doc)
		got := decodeFindings(t, string(data))
		for _, path := range paths {
			if !slices.ContainsFunc(got, func(f string) bool { return strings.HasPrefix(f, path+": ") }) {
				t.Fatalf("no finding at %s in\n%s", path, strings.Join(got, "\n"))
			}
		}
		if len(paths) == 0 && len(got) != 0 {
			t.Fatal(got)
		}
	})
}

func injectFaults(t *rapid.T, value any, path string, paths *[]string) {
	switch v := value.(type) {
	case map[string]any:
		for _, key := range sortedKeys(v) {
			at := strictjson.JoinPath(path, key)
			if rapid.IntRange(0, 9).Draw(t, at) == 0 {
				v[key] = nil
				*paths = append(*paths, at)
				continue
			}
			injectFaults(t, v[key], at, paths)
		}
		if rapid.IntRange(0, 9).Draw(t, path+" unknown") == 0 {
			v["zz"] = 1
			*paths = append(*paths, strictjson.JoinPath(path, "zz"))
		}
	case []any:
		for i := range v {
			injectFaults(t, v[i], path+"["+strconv.Itoa(i)+"]", paths)
		}
	}
}

func sortedKeys(m map[string]any) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// TestDefaultTagsMatchDecodedDefaults compares the default tags with the values
// that SetDefaults sets.
func TestDefaultTagsMatchDecodedDefaults(t *testing.T) {
	doc := Document{Services: make([]Service, 1), Workspaces: make([]Workspace, 1), Moves: make([]Move, 1)}
	doc.Services[0].Routes = make([]Route, 1)
	doc.SetDefaults()
	data, _ := json.Marshal(doc)
	var generic any
	if err := json.Unmarshal(data, &generic); err != nil {
		t.Fatal(err)
	}
	for _, f := range FieldDocs() {
		if f.Help == "" {
			t.Errorf("%s has no help", f.Path)
		}
		_, err := strconv.ParseFloat(f.Default, 64)
		if err != nil && f.Default != "normal" {
			continue
		}
		if got := fieldText(generic, f.Path); got != f.Default {
			t.Errorf("%s: default is %s, but the tag has %s", f.Path, got, f.Default)
		}
	}
}

func fieldText(value any, path string) string {
	for _, key := range strings.Split(path, ".") {
		name, list := strings.CutSuffix(key, "[]")
		value = value.(map[string]any)[name]
		if list {
			value = value.([]any)[0]
		}
	}
	if n, ok := value.(float64); ok {
		return strconv.FormatFloat(n, 'f', -1, 64)
	}
	return value.(string)
}
