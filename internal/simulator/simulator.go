// Package simulator contains tests and benchmarks that simulate the scheduling
// policy. They run the grant queue, the picker, the admitter and the request state
// machine against a simple engine model in virtual time. docs/POLICY.md describes
// the command and lists the results.
package simulator
