package document

import (
	"reflect"

	"coltsfootpath.example/coltsfootpath/internal/strictjson"
)

// FieldDoc is the reference documentation of one field of the document.
type FieldDoc struct {
	// Path is the field path, such as `moves[].deadline`.
	Path    string
	Type    string
	Unit    string
	Default string
	Bounds  string
	Help    string
}

// FieldDocs returns every field of the document, in declaration order.
func FieldDocs() []FieldDoc {
	return fieldsOf(reflect.TypeFor[Document](), "")
}

func fieldsOf(t reflect.Type, parent string) []FieldDoc {
	var out []FieldDoc
	for i := range t.NumField() {
		f := t.Field(i)
		path := strictjson.JoinPath(parent, strictjson.Key(f))
		inner := f.Type
		if inner.Kind() == reflect.Slice {
			path += "[]"
			inner = inner.Elem()
		}
		out = append(out, FieldDoc{
			Path: path, Type: strictjson.TypeName(inner), Unit: f.Tag.Get("unit"),
			Default: f.Tag.Get("default"), Bounds: strictjson.BoundsText(f), Help: f.Tag.Get("help"),
		})
		if strictjson.IsObject(inner) {
			out = append(out, fieldsOf(inner, path)...)
		}
	}
	return out
}
