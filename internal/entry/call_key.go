package entry

import (
	"net/http"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/protocol/callerapi"
)

// maxKeyClockSkew bounds how far a caller's clock may be ahead of this VM's.
const maxKeyClockSkew = 5 * time.Second

// keyIssuedAt returns the time at which the caller issued its key, zero if the
// header is absent.
func keyIssuedAt(r *http.Request) (time.Time, *callerapi.Error) {
	text := header(r, callerapi.KeyIssuedAtHeader)
	if text == "" {
		return time.Time{}, nil
	}
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return time.Time{}, newError(callerapi.MalformedRequest, callerapi.NotRun, "%s is not an RFC 3339 time", callerapi.KeyIssuedAtHeader)
	}
	return at.UTC(), nil
}

// hideNotRunFromRetry replaces "not run" by "unknown" in the rejection of a caller
// retry: an earlier request with the same key may still be running, or may have
// run without this VM having seen it.
func hideNotRunFromRetry(r *http.Request, rejection *callerapi.Error) *callerapi.Error {
	if rejection.Run != callerapi.NotRun || header(r, callerapi.ResendHeader) == "" {
		return rejection
	}
	out := *rejection
	out.Run = callerapi.RunUnknown
	return &out
}

func keyExpiredError() *callerapi.Error {
	return newError(callerapi.KeyExpired, callerapi.RunUnknown,
		"records from the time of the key may have been dropped from the log, or %s is missing; it is unknown whether the call has run", callerapi.KeyIssuedAtHeader)
}
