package ctl

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/sebdah/goldie/v2"

	"coltsfootpath.example/coltsfootpath/internal/app"
	"coltsfootpath.example/coltsfootpath/platform"
)

// check runs the check command and returns its exit code and output.
func check(t testing.TB, args ...string) (int, []byte) {
	t.Helper()
	var out bytes.Buffer
	cmd := Command()
	cmd.SetOut(&out)
	cmd.SilenceErrors, cmd.SilenceUsage = true, true
	cmd.SetArgs(append([]string{"check"}, args...))
	err := cmd.Execute()
	var coded *app.ExitError
	if errors.As(err, &coded) {
		return coded.Code, append(out.Bytes(), err.Error()+"\n"...)
	}
	if err != nil {
		t.Fatal(err)
	}
	return app.ExitOK, out.Bytes()
}

// TestCheckOutput: a configuration with every kind of finding, and what it changes.
func TestCheckOutput(t *testing.T) {
	for _, output := range []string{outputTable, outputJSON} {
		code, out := check(t, "testdata/check-new.json", "--active", "testdata/check-active.json", "-o", output)
		if code != exitErrors {
			t.Errorf("exit code %d, want %d", code, exitErrors)
		}
		goldie.New(t).Assert(t, "check-"+output, out)
	}
}

func TestCheckWithoutFindings(t *testing.T) {
	for _, file := range []string{"testdata/check-active.json", demoDocument} {
		if code, out := check(t, file, "--active", file); code != app.ExitOK || !strings.Contains(string(out), "no findings") {
			t.Errorf("%s: exit code %d, %s", file, code, out)
		}
	}
}

// TestCheckComparesOperatorsDocuments: a workspace loses a route and its token changes.
func TestCheckComparesOperatorsDocuments(t *testing.T) {
	data, err := os.ReadFile(demoDocument)
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.ReplaceAll(string(data), `"assistant/summaries", `, "")
	changed = strings.ReplaceAll(changed, `"45778b6b`, `"55778b6b`)
	code, out := check(t, write(t, changed), "--active", demoDocument)
	if code != exitWarnings {
		t.Errorf("exit code %d, want %d", code, exitWarnings)
	}
	for _, want := range []string{"no workspace may call assistant/summaries", "TokenSHA256 changed", "Routes: [assistant/clerk-questions"} {
		if !strings.Contains(string(out), want) {
			t.Errorf("the output lacks %q:\n%s", want, out)
		}
	}
	if strings.Contains(string(out), "45778b6b") {
		t.Error("the output shows a token's hash")
	}
}

func TestCheckOfUnreadableFiles(t *testing.T) {
	for name, c := range map[string]struct{ content, want string }{
		"empty":          {"", "is empty"},
		"white space":    {" \n", "is empty"},
		"malformed":      {`{"version":1,`, "ends unexpectedly"},
		"no object":      {`[]`, "must be an object, not an array"},
		"trailing":       {`{"version":1} x`, "trailing data"},
		"too long":       {`{"version":1,"x":"` + strings.Repeat("a", platform.MaxDocumentBytes) + `"}`, "at most 4194304"},
		"no version":     {`{"routes":[]}`, "version"},
		"twice":          {`{"version":1,"version":2}`, "appears twice"},
		"wrong type":     {`{"version":"one","routes":{}}`, "must be an array, not an object"},
		"deeply nested":  {`{"version":1,"x":` + strings.Repeat("[", 20000), "byte"},
		"binary content": {"\x00\xff", "invalid character"},
	} {
		code, out := check(t, write(t, c.content), "--format", formatPlatform)
		if code != exitErrors || !strings.Contains(string(out), c.want) {
			t.Errorf("%s: exit code %d, want %d and %q:\n%.300s", name, code, exitErrors, c.want, out)
		}
	}
	if _, out := check(t, write(t, `{"version":1,"routes":[`)); !strings.Contains(string(out), "config ") {
		t.Errorf("a configuration that ends too early is taken for the operators' document:\n%s", out)
	}
	if code, _ := check(t, filepath.Join(t.TempDir(), "absent.json")); code != exitErrors {
		t.Errorf("exit code of an absent file is %d, want %d", code, exitErrors)
	}
}

func write(t testing.TB, content string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// FuzzCheckAgreesWithTheReader: a configuration without errors is one that processes accept.
func FuzzCheckAgreesWithTheReader(f *testing.F) {
	for _, file := range []string{"testdata/check-active.json", "testdata/check-new.json"} {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte(`{"version":1,"routes":[{"kind":"stream","backends":[null]}],"services":[null]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		report := checkPlatform(data, data)
		if _, err := platform.DecodeDocument(data); err != nil && len(report.Errors) == 0 {
			t.Errorf("no errors were found, but processes reject it: %v", err)
		}
	})
}
