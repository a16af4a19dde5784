// Package parser reads the operators' query and command language and prints
// objects in it.
package parser

import "github.com/damasklever/damasklever/internal/wire"

// Statement is one query or one edit.
type Statement struct {
	Line  int
	Text  string
	Query *wire.Query
	Edit  *wire.Edit
}

// Parse reads statements, one a line. An error is of type *Error.
func Parse(text string) ([]Statement, error) { return nil, nil }
