package document

import "reflect"

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
		path := joinPath(parent, jsonKey(f))
		inner := f.Type
		if inner.Kind() == reflect.Slice {
			path += "[]"
			inner = inner.Elem()
		}
		out = append(out, FieldDoc{
			Path: path, Type: typeName(inner), Unit: f.Tag.Get("unit"),
			Default: f.Tag.Get("default"), Bounds: boundsText(f), Help: f.Tag.Get("help"),
		})
		if isObject(inner) {
			out = append(out, fieldsOf(inner, path)...)
		}
	}
	return out
}
