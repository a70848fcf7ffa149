// Package serviceapi defines the HTTP protocol of plain services. Bodies are
// the platform package's types in JSON.
package serviceapi

// CallPath accepts a platform.CallRequest and returns a platform.CallResult.
const CallPath = "/v1/call"
