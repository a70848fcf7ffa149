// Package strictjson reads JSON as a Go type and collects everything that does not match it,
// each with its field path, instead of ending at the first problem.
package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/findings"
)

// Options select what counts as a problem.
type Options struct {
	// Root is the field path of the whole input in findings.
	Root string
	// Lenient accepts what readers of later and earlier formats must accept: unknown keys, and
	// null for a field that is not given.
	Lenient bool
}

// Decode reads data as a value of type t and adds a finding for every repeated key and every
// value of the wrong type, and, unless it is lenient, for every unknown key. It returns the
// JSON of the values that match t, so that later checks can continue after a finding, or nil
// if data is not valid JSON.
func Decode(data []byte, t reflect.Type, opts Options, found *findings.List) []byte {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	r := &strictReader{dec: dec, opts: opts, found: found}
	value, matches, err := r.readValue(t, "")
	if err == nil {
		err = r.expectEnd()
	}
	if err != nil {
		found.Addf(opts.Root, "%v (byte %d)", err, dec.InputOffset())
		return nil
	}
	if opts.Lenient && !matches {
		return nil
	}
	accepted, err := json.Marshal(value)
	if err != nil {
		found.Addf(opts.Root, "%v", err)
		return nil
	}
	return accepted
}

// strictReader matches the tokens of an encoding/json decoder with a Go type.
type strictReader struct {
	dec   *json.Decoder
	opts  Options
	found *findings.List
}

func (r *strictReader) expectEnd() error {
	if _, err := r.dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("has trailing data")
	}
	return nil
}

func (r *strictReader) nextToken() (json.Token, error) {
	token, err := r.dec.Token()
	if errors.Is(err, io.EOF) {
		return nil, errors.New("ends unexpectedly")
	}
	return token, err
}

// readValue reads one value. matches is false if the value has the wrong type; an
// error means that the input is not valid JSON.
func (r *strictReader) readValue(t reflect.Type, path string) (value any, matches bool, err error) {
	token, err := r.nextToken()
	if err != nil {
		return nil, false, err
	}
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch {
	case token == nil && r.opts.Lenient && path != "":
		return nil, true, nil
	case token == json.Delim('{') && t.Kind() == reflect.Map:
		value, err = r.readMap(t.Elem(), path)
		return value, true, err
	case token == json.Delim('{') && IsObject(t):
		value, err = r.readObject(t, path)
		return value, true, err
	case token == json.Delim('[') && t.Kind() == reflect.Slice:
		value, err = r.readArray(t.Elem(), path)
		return value, true, err
	}
	matches = r.decodesInto(token, t)
	if !matches {
		r.found.Addf(r.pathOrRoot(path), "must be %s, not %s", TypeName(t), tokenName(token))
	}
	return token, matches, r.skipRest(token)
}

// IsObject reports whether values of a type are objects with known keys.
func IsObject(t reflect.Type) bool {
	return t.Kind() == reflect.Struct && t != timeType
}

// decodesInto reports whether a scalar token decodes into a value of type t.
func (r *strictReader) decodesInto(token json.Token, t reflect.Type) bool {
	if _, composite := token.(json.Delim); composite || token == nil || IsObject(t) || t.Kind() == reflect.Slice {
		return false
	}
	data, err := json.Marshal(token)
	if err != nil {
		return false
	}
	return json.Unmarshal(data, reflect.New(t).Interface()) == nil
}

// skipRest skips the rest of an array or object whose opening token has already
// been read. It does nothing for a scalar.
func (r *strictReader) skipRest(opening json.Token) error {
	if _, composite := opening.(json.Delim); !composite {
		return nil
	}
	for depth := 1; depth > 0; {
		token, err := r.nextToken()
		if err != nil {
			return err
		}
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
	}
	return nil
}

func (r *strictReader) readArray(elem reflect.Type, path string) ([]any, error) {
	out := []any{}
	for r.dec.More() {
		value, matches, err := r.readValue(elem, fmt.Sprintf("%s[%d]", path, len(out)))
		if err != nil {
			return nil, err
		}
		if !matches {
			// The zero value keeps the indexes of later elements, and so the field
			// paths of their findings, correct.
			value = reflect.Zero(elem).Interface()
		}
		out = append(out, value)
	}
	_, err := r.nextToken()
	return out, err
}

func (r *strictReader) readObject(t reflect.Type, path string) (map[string]any, error) {
	fields := fieldsByKey(t)
	seen := map[string]bool{}
	out := map[string]any{}
	for r.dec.More() {
		token, err := r.nextToken()
		if err != nil {
			return nil, err
		}
		key, _ := token.(string)
		at := JoinPath(path, key)
		if seen[key] {
			r.found.Addf(at, "appears twice")
		}
		seen[key] = true
		field, known := fields[key]
		if !known {
			if !r.opts.Lenient {
				r.found.Addf(at, "is not a field of the document")
			}
			if err := r.skipValue(); err != nil {
				return nil, err
			}
			continue
		}
		value, matches, err := r.readValue(field.Type, at)
		if err != nil {
			return nil, err
		}
		if matches {
			r.checkBounds(field, value, at)
			out[key] = value
		}
	}
	_, err := r.nextToken()
	return out, err
}

// readMap reads an object with any keys.
func (r *strictReader) readMap(elem reflect.Type, path string) (map[string]any, error) {
	out := map[string]any{}
	for r.dec.More() {
		token, err := r.nextToken()
		if err != nil {
			return nil, err
		}
		key, _ := token.(string)
		at := JoinPath(path, key)
		if _, seen := out[key]; seen {
			r.found.Addf(at, "appears twice")
		}
		value, matches, err := r.readValue(elem, at)
		if err != nil {
			return nil, err
		}
		if matches {
			out[key] = value
		}
	}
	_, err := r.nextToken()
	return out, err
}

// skipValue skips the next value.
func (r *strictReader) skipValue() error {
	token, err := r.nextToken()
	if err != nil {
		return err
	}
	return r.skipRest(token)
}

// checkBounds adds a finding if value is a number outside its field's bounds.
func (r *strictReader) checkBounds(field reflect.StructField, value any, path string) {
	low, high, bounded := numberBounds(field)
	number, isNumber := value.(json.Number)
	if !bounded || !isNumber {
		return
	}
	n, err := number.Float64()
	if err != nil || n < low || n > high {
		r.found.Addf(path, "must be %s, not %s", BoundsText(field), number)
	}
}

var timeType = reflect.TypeFor[time.Time]()

// fieldsByKey returns the fields of a struct by their JSON keys.
func fieldsByKey(t reflect.Type) map[string]reflect.StructField {
	out := map[string]reflect.StructField{}
	for i := range t.NumField() {
		f := t.Field(i)
		out[Key(f)] = f
	}
	return out
}

// Key returns the JSON key of a field.
func Key(f reflect.StructField) string {
	key, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return key
}

func numberBounds(f reflect.StructField) (low, high float64, ok bool) {
	low, errLow := strconv.ParseFloat(f.Tag.Get("min"), 64)
	high, errHigh := strconv.ParseFloat(f.Tag.Get("max"), 64)
	return low, high, errLow == nil && errHigh == nil
}

// BoundsText returns a field's bounds for people, empty if it has none.
func BoundsText(f reflect.StructField) string {
	if _, _, ok := numberBounds(f); ok {
		return f.Tag.Get("min") + " to " + f.Tag.Get("max")
	}
	return f.Tag.Get("bounds")
}

// JoinPath returns the path of a key within an object.
func JoinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func (r *strictReader) pathOrRoot(path string) string {
	if path == "" {
		return r.opts.Root
	}
	return path
}

// TypeName returns the name of a type for people.
func TypeName(t reflect.Type) string {
	if t == timeType {
		return "a time such as 2030-01-31T08:00:00Z"
	}
	switch t.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "an array"
	case reflect.Int:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Bool:
		return "true or false"
	}
	return "a text"
}

func tokenName(token json.Token) string {
	switch v := token.(type) {
	case nil:
		return "null"
	case json.Delim:
		if v == '{' {
			return "an object"
		}
		return "an array"
	case string:
		return strconv.Quote(v)
	}
	return fmt.Sprint(token)
}
