package ctl

import (
	"cmp"
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"coltsfootpath.example/coltsfootpath/internal/settings"
	"coltsfootpath.example/coltsfootpath/internal/state/document"
)

const referenceIntro = `# Configuration reference

This page is generated from the code: ` + "`go test ./internal/ctl -run TestConfigurationPage -update`" + `
regenerates it, and the same test fails if they differ.

A name has 1 to 63 lower-case letters, digits, ".", "_" and "-", and begins with a
letter or a digit. A duration is written as 500ms, 2s or 1m30s. An address is
an IP number and a port.

## The operators' document

JSON of at most %d bytes. Every key may appear only once, keys are matched exactly,
and an unknown key, a null and data after the end are findings. A field with a
default may be left out; a given number must lie within its bounds.

`

// TestConfigurationPage compares docs/CONFIGURATION.md with the fields in the
// code.
func TestConfigurationPage(t *testing.T) {
	var b strings.Builder
	fmt.Fprintf(&b, referenceIntro, document.MaxBytes)
	b.WriteString("| Field | Type | Unit | Default | Bounds | Meaning |\n|---|---|---|---|---|---|\n")
	for _, f := range document.FieldDocs() {
		writeRow(&b, "`"+f.Path+"`", f.Type, f.Unit, f.Default, f.Bounds, f.Help)
	}
	for _, name := range []string{"entry", "coordinator", "gateway"} {
		writeSettingsTable(&b, settingsSchemas()[name])
	}
	goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md")).Assert(t, "CONFIGURATION", []byte(b.String()))
}

func writeSettingsTable(b *strings.Builder, schema *settings.Schema) {
	fmt.Fprintf(b, "\n## Settings of %s\n\n| Section | Setting | Unit | Default | Bounds | Meaning |\n|---|---|---|---|---|---|\n", schema.Name)
	for _, f := range schema.Fields {
		def := f.Default
		if f.Required {
			def = "required"
		}
		if f.Help == "" {
			panic(f.Section + " " + f.Key + " has no help")
		}
		writeRow(b, f.Section, "`"+f.Key+"`", f.Unit, def, f.Bounds, f.Help)
	}
}

func writeRow(b *strings.Builder, cells ...string) {
	for _, c := range cells {
		b.WriteString("| " + cmp.Or(c, "-") + " ")
	}
	b.WriteString("|\n")
}
