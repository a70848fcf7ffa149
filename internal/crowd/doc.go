// Package crowd tests the programs as separate processes against callers that exceed
// limits, stop sending or do not read.
package crowd
