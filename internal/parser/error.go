package parser

import (
	"fmt"
	"strings"
)

// Error is a syntax error or an invalid value in a statement.
type Error struct {
	Line, Column int    // both from 1; the column counts characters, not bytes
	Text         string // the whole line
	Want, Got    string // expected and actual input
	Reason       string // replaces Want and Got for an invalid value
}

// Error returns the position, the reason and the line with a marker below the column.
func (e *Error) Error() string {
	reason := e.Reason
	if reason == "" {
		reason = fmt.Sprintf("expected %s, found %s", e.Want, e.Got)
	}
	// Tabs are copied to the marker line, so that the marker is aligned with its column.
	pad := []rune(e.Text)
	pad = pad[:min(e.Column-1, len(pad))]
	for i := range pad {
		if pad[i] != '\t' {
			pad[i] = ' '
		}
	}

	return fmt.Sprintf("line %d, column %d: %s\n  %s\n  %s^",
		e.Line, e.Column, reason, strings.TrimRight(e.Text, "\r\n"), string(pad))
}
