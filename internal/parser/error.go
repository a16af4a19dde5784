package parser

import (
	"fmt"
	"strings"
)

// Error is a fault in the text of a statement.
type Error struct {
	Line, Column int    // from 1; the column counts characters
	Text         string // the line
	Want, Got    string // what was expected and what was found
	Reason       string // instead of Want and Got, for a bad value
}

// Error gives the place, the reason and the line with a marker.
func (e *Error) Error() string {
	reason := e.Reason
	if reason == "" {
		reason = fmt.Sprintf("expected %s, found %s", e.Want, e.Got)
	}
	// Tabs are kept before the marker, so that it stands below its column.
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
