// Package serviceapi defines the HTTP protocol of plain services. Bodies are
// the types of package ports in JSON.
package serviceapi

// CallPath accepts a ports.CallRequest and returns a ports.CallResult.
const CallPath = "/v1/call"
