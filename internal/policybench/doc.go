// Package policybench compares routing policies in a simulation with virtual time.
// The simulated nodes make their decisions with the system's own routing, admission
// and health packages, and the engines follow the cost model of the engine stand-in.
// A decision takes no virtual time. Each entry node has its own view of the engines,
// which consists of delayed load reports and of cache events that arrive late or get
// lost. The results of a run depend only on its seed.
package policybench
