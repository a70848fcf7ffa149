package httpserver

import (
	"fmt"
	"net/http"
	"reflect"

	"github.com/lesismal/nbio/nbhttp"
)

// WriteHeader sets the status of an answer, from 100 to 999. The library ignores statuses
// that have no name, and then answers with 200.
func WriteHeader(w http.ResponseWriter, status int) {
	status = validStatus(status)
	w.WriteHeader(status)
	if res, ok := w.(*nbhttp.Response); ok && http.StatusText(status) == "" {
		fields := reflect.ValueOf(res).Elem()
		code := (*int)(fields.FieldByIndex(statusCodeField).Addr().UnsafePointer())
		if *code == 0 && !fields.FieldByIndex(hijackedField).Bool() {
			*code = status
			*(*string)(fields.FieldByIndex(statusField).Addr().UnsafePointer()) = reason(status)
		}
	}
}

// validStatus returns a status that can be sent: the given one, or that of an error of this process.
func validStatus(status int) int {
	if status < 100 || status > 999 {
		return http.StatusInternalServerError
	}
	return status
}

// reason returns the reason phrase for a status.
func reason(status int) string {
	if text := http.StatusText(status); text != "" {
		return text
	}
	return fmt.Sprintf("status code %d", status)
}

// The library exports neither a response's status nor whether its connection was taken over.
var (
	statusCodeField = responseField("statusCode", reflect.Int)
	statusField     = responseField("status", reflect.String)
	hijackedField   = responseField("hijacked", reflect.Bool)
)

func responseField(name string, kind reflect.Kind) []int {
	field, ok := reflect.TypeFor[nbhttp.Response]().FieldByName(name)
	if !ok || field.Type.Kind() != kind {
		panic(fmt.Sprintf("httpserver: nbhttp.Response has no field %s of kind %v", name, kind))
	}
	return field.Index
}
