// Package settings reads INI settings against a schema. Every finding is
// collected with its file, section, key and line, and reported together.
package settings

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"coltsfootpath.example/coltsfootpath/internal/findings"
)

// Field is one setting.
type Field struct {
	Section  string
	Key      string
	Required bool
	Default  string
	// Unit and Bounds are for people; the check enforces the bounds.
	Unit   string
	Bounds string
	Help   string
	Secret bool
	set    func(value string) error
}

// Schema lists the settings of one binary.
type Schema struct {
	Name   string
	Fields []Field
	checks []func(found *findings.List)
}

// NewSchema returns a schema without fields.
func NewSchema(name string) *Schema {
	return &Schema{Name: name}
}

// Check adds a check over several settings. It runs once every setting has
// been read.
func (s *Schema) Check(check func(found *findings.List)) {
	s.checks = append(s.checks, check)
}

func (s *Schema) add(f Field) *Field {
	s.Fields = append(s.Fields, f)
	return &s.Fields[len(s.Fields)-1]
}

// RequiredName adds a required text without white space.
func (s *Schema) RequiredName(section, key string, target *string, help string) {
	s.add(Field{Section: section, Key: key, Required: true, Bounds: "no white space", Help: help, set: func(v string) error {
		if strings.ContainsAny(v, " \t") {
			return fmt.Errorf("%q holds white space", v)
		}
		*target = v
		return nil
	}})
}

// OptionalText adds a text that may be absent.
func (s *Schema) OptionalText(section, key string, target *string, help string) {
	s.add(Field{Section: section, Key: key, Bounds: "any text", Help: help, set: func(v string) error {
		*target = v
		return nil
	}})
}

// Number adds a number, whole or not, between low and high.
func (s *Schema) Number(section, key string, target *float64, def, low, high float64, unit, help string) {
	*target = def
	s.add(Field{Section: section, Key: key, Default: strconv.FormatFloat(def, 'g', -1, 64), Unit: unit, Bounds: fmt.Sprintf("%g to %g", low, high), Help: help, set: func(v string) error {
		x, err := strconv.ParseFloat(v, 64)
		if err != nil {
			return fmt.Errorf("%q is no number", v)
		}
		if x < low || x > high {
			return fmt.Errorf("%g is not between %g and %g", x, low, high)
		}
		*target = x
		return nil
	}})
}

// Bool adds true or false.
func (s *Schema) Bool(section, key string, target *bool, def bool, help string) {
	*target = def
	s.add(Field{Section: section, Key: key, Default: strconv.FormatBool(def), Bounds: "true or false", Help: help, set: func(v string) error {
		if v != "true" && v != "false" {
			return fmt.Errorf("%q is neither true nor false", v)
		}
		*target = v == "true"
		return nil
	}})
}

// RequiredSecret adds a required text that is never shown.
func (s *Schema) RequiredSecret(section, key string, target *string, minBytes int, help string) {
	bounds := fmt.Sprintf("at least %d bytes", minBytes)
	s.add(Field{Section: section, Key: key, Required: true, Bounds: bounds, Help: help, Secret: true, set: func(v string) error {
		if len(v) < minBytes {
			return fmt.Errorf("is shorter than %d bytes", minBytes)
		}
		*target = v
		return nil
	}})
}

// RequiredAddress adds a required host:port with an IP number as the host.
func (s *Schema) RequiredAddress(section, key string, target *string, help string) {
	s.add(Field{Section: section, Key: key, Required: true, Bounds: "ip:port", Help: help, set: func(v string) error {
		return setAddress(v, target)
	}})
}

// Address adds an optional host:port; its default is set by the caller.
func (s *Schema) Address(section, key string, target *string, help string) {
	s.add(Field{Section: section, Key: key, Bounds: "ip:port", Help: help, set: func(v string) error {
		return setAddress(v, target)
	}})
}

func setAddress(v string, target *string) error {
	host, port, err := net.SplitHostPort(v)
	if err != nil {
		return fmt.Errorf("%q is no ip:port", v)
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("%q is no IP number", host)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Errorf("%q is no port number up to 65535", port)
	}
	*target = v
	return nil
}

// Duration adds a duration between low and high.
func (s *Schema) Duration(section, key string, target *time.Duration, def, low, high time.Duration, help string) {
	*target = def
	s.add(Field{Section: section, Key: key, Default: def.String(), Unit: "duration", Bounds: low.String() + " to " + high.String(), Help: help, set: func(v string) error {
		d, err := time.ParseDuration(v)
		if err != nil {
			return fmt.Errorf("%q is no duration such as 500ms or 2s", v)
		}
		if d < low || d > high {
			return fmt.Errorf("%v is not between %v and %v", d, low, high)
		}
		*target = d
		return nil
	}})
}

// Int adds a whole number between low and high.
func (s *Schema) Int(section, key string, target *int, def, low, high int, unit, help string) {
	*target = def
	s.add(Field{Section: section, Key: key, Default: strconv.Itoa(def), Unit: unit, Bounds: fmt.Sprintf("%d to %d", low, high), Help: help, set: func(v string) error {
		n, err := strconv.Atoi(v)
		if err != nil {
			return fmt.Errorf("%q is no whole number", v)
		}
		if n < low || n > high {
			return fmt.Errorf("%d is not between %d and %d", n, low, high)
		}
		*target = n
		return nil
	}})
}

// Load reads the file and sets every field, or returns all findings.
func (s *Schema) Load(path string) error {
	var found findings.List
	data, err := os.ReadFile(path)
	if err != nil {
		found.Addf(path, "%v", err)
		return found.Err()
	}
	file, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true}, data)
	if err != nil {
		found.Addf(path, "%v", err)
		return found.Err()
	}
	lines := lineNumbers(string(data))
	s.checkUnknown(path, file, lines, &found)
	for i := range s.Fields {
		s.Fields[i].load(path, file, lines, &found)
	}
	for _, check := range s.checks {
		check(&found)
	}
	return found.Err()
}

type place struct{ section, key string }

// lineNumbers finds the lines where keys stand. The values themselves are
// read by the INI library.
func lineNumbers(text string) map[place]int {
	lines := map[place]int{}
	section := ""
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") && strings.HasSuffix(line, "]") {
			section = strings.TrimSpace(line[1 : len(line)-1])
			continue
		}
		if key, _, ok := strings.Cut(line, "="); ok {
			lines[place{section, strings.TrimSpace(key)}] = i + 1
		}
	}
	return lines
}

func (s *Schema) checkUnknown(path string, file *ini.File, lines map[place]int, found *findings.List) {
	known := map[place]bool{}
	for _, f := range s.Fields {
		known[place{f.Section, f.Key}] = true
	}
	for _, section := range file.Sections() {
		name := section.Name()
		if name == ini.DefaultSection {
			name = ""
		}
		for _, key := range section.Keys() {
			if !known[place{name, key.Name()}] {
				found.Addf(at(path, name, key.Name(), lines), "is no setting of %s", s.Name)
			}
			if len(key.ValueWithShadows()) > 1 {
				found.Addf(at(path, name, key.Name(), lines), "stands twice")
			}
		}
	}
}

func at(path, section, key string, lines map[place]int) string {
	if n, ok := lines[place{section, key}]; ok {
		return fmt.Sprintf("%s:%d: [%s] %s", path, n, section, key)
	}
	return fmt.Sprintf("%s: [%s] %s", path, section, key)
}

func (f *Field) load(path string, file *ini.File, lines map[place]int, found *findings.List) {
	section, err := file.GetSection(f.Section)
	missing := err != nil || !section.HasKey(f.Key) || section.Key(f.Key).String() == ""
	if missing {
		if f.Required {
			found.Addf(at(path, f.Section, f.Key, lines), "is needed")
		}
		return
	}
	if err := f.set(section.Key(f.Key).String()); err != nil {
		found.Addf(at(path, f.Section, f.Key, lines), "%v", err)
	}
}
