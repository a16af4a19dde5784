// Package evaluator measures the scheduling policy. Its tests and its benchmark
// drive the grant queue, the picker, the admitter and the request state machine
// against a small engine model in virtual time. docs/POLICY.md gives the
// command and the figures.
package evaluator
