package main

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/parser"
	"github.com/damasklever/damasklever/internal/subscriber"
	"github.com/damasklever/damasklever/internal/wire"
)

// Exit statuses, as documented in rootHelp.
const (
	exitOK = iota
	exitFailure
	exitUsage
	exitConflict
	exitRefused
	exitPending
)

// exitError is an error with an exit status.
type exitError struct {
	status int
	err    error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error { return e.err }

func usageErrorf(format string, args ...any) error {
	return &exitError{exitUsage, errors.Newf(format, args...)}
}

// report prints an error, if there is one, and returns the exit status.
func (p *program) report(err error) int {
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintf(p.err, "damaskctl: %s\n", err)
	var known *exitError
	if errors.As(err, &known) {
		return known.status
	}

	return exitStatus(err)
}

func exitStatus(err error) int {
	var syntax *parser.Error
	var propose *subscriber.ProposeError
	switch {
	case errors.As(err, &syntax), errors.Is(err, subscriber.ErrInvalidQuery):
		return exitUsage
	case errors.As(err, &propose) && propose.Stored:
		return exitPending
	case errors.As(err, &propose) && propose.Refused != nil:
		return exitRefused
	default:
		return exitFailure
	}
}

// outcomeError returns an error for a result whose outcome is not "done".
func outcomeError(r *wire.Result) error {
	text := errors.Newf("%s", r.GetText())
	switch r.GetOutcome() {
	case wire.Outcome_OUTCOME_DONE:
		return nil
	case wire.Outcome_OUTCOME_CONFLICT:
		return &exitError{exitConflict, errors.Newf("conflict: %w", text)}
	case wire.Outcome_OUTCOME_INVALID, wire.Outcome_OUTCOME_REFUSED:
		return &exitError{exitRefused, errors.Newf("not run: %w", text)}
	default:
		return &exitError{exitPending, errors.Newf("pending: %w", text)}
	}
}
