// Package settings reads INI files according to a schema. It collects all
// findings, each with its file, line, section and key, and reports them together.
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

// Field describes one setting.
type Field struct {
	Section  string
	Key      string
	Required bool
	Default  string
	// Unit and Bounds are documentation only; set enforces the bounds.
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

// Check adds a check that spans several settings. Load calls it after all settings
// have been read.
func (s *Schema) Check(check func(found *findings.List)) {
	s.checks = append(s.checks, check)
}

func (s *Schema) add(f Field) *Field {
	s.Fields = append(s.Fields, f)
	return &s.Fields[len(s.Fields)-1]
}

// RequiredName adds a required text setting without white space.
func (s *Schema) RequiredName(section, key string, target *string, help string) {
	s.add(Field{Section: section, Key: key, Required: true, Bounds: "no white space", Help: help, set: func(v string) error {
		if strings.ContainsAny(v, " \t") {
			return fmt.Errorf("%q contains white space", v)
		}
		*target = v
		return nil
	}})
}

// OptionalText adds an optional text setting.
func (s *Schema) OptionalText(section, key string, target *string, help string) {
	s.add(Field{Section: section, Key: key, Bounds: "any text", Help: help, set: func(v string) error {
		*target = v
		return nil
	}})
}

// Float adds a floating-point setting between low and high.
func (s *Schema) Float(section, key string, target *float64, def, low, high float64, unit, help string) {
	*target = def
	s.add(Field{Section: section, Key: key, Default: strconv.FormatFloat(def, 'g', -1, 64), Unit: unit, Bounds: fmt.Sprintf("%g to %g", low, high), Help: help, set: func(v string) error {
		x, err := strconv.ParseFloat(v, 64)
		if err != nil {
			return fmt.Errorf("%q is not a number", v)
		}
		if x < low || x > high {
			return fmt.Errorf("%g is not between %g and %g", x, low, high)
		}
		*target = x
		return nil
	}})
}

// Bool adds a boolean setting, written as true or false.
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

// RequiredSecret adds a required text setting of at least minBytes bytes. Its value
// must never be shown.
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

// RequiredAddress adds a required host:port setting whose host is an IP address.
func (s *Schema) RequiredAddress(section, key string, target *string, help string) {
	s.add(Field{Section: section, Key: key, Required: true, Bounds: "ip:port", Help: help, set: func(v string) error {
		return setAddress(v, target)
	}})
}

// OptionalAddress adds an optional host:port setting whose host is an IP address. The
// caller sets its default.
func (s *Schema) OptionalAddress(section, key string, target *string, help string) {
	s.add(Field{Section: section, Key: key, Bounds: "ip:port", Help: help, set: func(v string) error {
		return setAddress(v, target)
	}})
}

// OptionalIP adds an optional IP address.
func (s *Schema) OptionalIP(section, key string, target *net.IP, help string) {
	s.add(Field{Section: section, Key: key, Bounds: "ip", Help: help, set: func(v string) error {
		ip := net.ParseIP(v)
		if v != "" && ip == nil {
			return fmt.Errorf("%q is not an IP address", v)
		}
		*target = ip
		return nil
	}})
}

func setAddress(v string, target *string) error {
	host, port, err := net.SplitHostPort(v)
	if err != nil {
		return fmt.Errorf("%q is not an ip:port", v)
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("%q is not an IP address", host)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Errorf("%q is not a port number from 0 to 65535", port)
	}
	*target = v
	return nil
}

// Duration adds a duration setting between low and high.
func (s *Schema) Duration(section, key string, target *time.Duration, def, low, high time.Duration, help string) {
	*target = def
	s.add(Field{Section: section, Key: key, Default: def.String(), Unit: "duration", Bounds: low.String() + " to " + high.String(), Help: help, set: func(v string) error {
		d, err := time.ParseDuration(v)
		if err != nil {
			return fmt.Errorf("%q is not a duration such as 500ms or 2s", v)
		}
		if d < low || d > high {
			return fmt.Errorf("%v is not between %v and %v", d, low, high)
		}
		*target = d
		return nil
	}})
}

// Int adds an integer setting between low and high.
func (s *Schema) Int(section, key string, target *int, def, low, high int, unit, help string) {
	*target = def
	s.add(Field{Section: section, Key: key, Default: strconv.Itoa(def), Unit: unit, Bounds: fmt.Sprintf("%d to %d", low, high), Help: help, set: func(v string) error {
		n, err := strconv.Atoi(v)
		if err != nil {
			return fmt.Errorf("%q is not a whole number", v)
		}
		if n < low || n > high {
			return fmt.Errorf("%d is not between %d and %d", n, low, high)
		}
		*target = n
		return nil
	}})
}

// Load reads the file and sets the targets of all settings in it. It returns all
// findings as one error.
func (s *Schema) Load(path string) error {
	var found findings.List
	s.load(path, &found, &found)
	return found.Err()
}

// LoadKnown is Load for a process that may be of an older version than its settings: keys that
// the schema does not have are no error. It returns the findings about them as unknown.
func (s *Schema) LoadKnown(path string) (unknown, err error) {
	var found, ignored findings.List
	s.load(path, &found, &ignored)
	return ignored.Err(), found.Err()
}

// load adds the findings about keys that the schema does not have to unknown, and all others to
// found.
func (s *Schema) load(path string, found, unknown *findings.List) {
	data, err := os.ReadFile(path)
	if err != nil {
		found.Addf(path, "%v", err)
		return
	}
	file, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true}, data)
	if err != nil {
		found.Addf(path, "%v", err)
		return
	}
	lines := lineNumbers(string(data))
	s.checkKeys(path, file, lines, found, unknown)
	for i := range s.Fields {
		s.Fields[i].load(path, file, lines, found)
	}
	for _, check := range s.checks {
		check(found)
	}
}

type sectionKey struct{ section, key string }

// lineNumbers returns the line number of each key, because the INI library, which
// reads the values, doesn't report line numbers.
func lineNumbers(text string) map[sectionKey]int {
	lines := map[sectionKey]int{}
	section := ""
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") && strings.HasSuffix(line, "]") {
			section = strings.TrimSpace(line[1 : len(line)-1])
			continue
		}
		if key, _, ok := strings.Cut(line, "="); ok {
			lines[sectionKey{section, strings.TrimSpace(key)}] = i + 1
		}
	}
	return lines
}

// checkKeys adds a finding for each key that the schema does not have to unknown, and for each
// key that is set more than once to found.
func (s *Schema) checkKeys(path string, file *ini.File, lines map[sectionKey]int, found, unknown *findings.List) {
	known := map[sectionKey]bool{}
	for _, f := range s.Fields {
		known[sectionKey{f.Section, f.Key}] = true
	}
	for _, section := range file.Sections() {
		name := section.Name()
		if name == ini.DefaultSection {
			name = ""
		}
		for _, key := range section.Keys() {
			if !known[sectionKey{name, key.Name()}] {
				unknown.Addf(location(path, name, key.Name(), lines), "is not a setting of %s", s.Name)
			}
			if len(key.ValueWithShadows()) > 1 {
				found.Addf(location(path, name, key.Name(), lines), "is set more than once")
			}
		}
	}
}

// location returns a key's location for a finding, with its line number if known.
func location(path, section, key string, lines map[sectionKey]int) string {
	if n, ok := lines[sectionKey{section, key}]; ok {
		return fmt.Sprintf("%s:%d: [%s] %s", path, n, section, key)
	}
	return fmt.Sprintf("%s: [%s] %s", path, section, key)
}

func (f *Field) load(path string, file *ini.File, lines map[sectionKey]int, found *findings.List) {
	section, err := file.GetSection(f.Section)
	missing := err != nil || !section.HasKey(f.Key) || section.Key(f.Key).String() == ""
	if missing {
		if f.Required {
			found.Addf(location(path, f.Section, f.Key, lines), "is required")
		}
		return
	}
	if err := f.set(section.Key(f.Key).String()); err != nil {
		found.Addf(location(path, f.Section, f.Key, lines), "%v", err)
	}
}
