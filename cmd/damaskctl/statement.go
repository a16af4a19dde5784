package main

import (
	"io"
	"os"
	"strings"
	"unicode"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/parser"
	"github.com/damasklever/damasklever/internal/wire"
)

// maxFileBytes bounds a file of statements; a change is one entry of the log.
const maxFileBytes = 4 << 20

// join makes one text of the shell's arguments. One argument is taken as it is;
// of several, those with spaces are quoted again.
func join(args []string) string {
	if len(args) == 1 {
		return args[0]
	}
	words := make([]string, len(args))
	for i, a := range args {
		words[i] = a
		if a == "" || strings.ContainsFunc(a, unicode.IsSpace) {
			words[i] = requote(a)
		}
	}

	return strings.Join(words, " ")
}

// requote quotes an argument, or the value of one in the form field=value.
func requote(a string) string {
	name, value, found := strings.Cut(a, "=")
	if found && name != "" && !strings.ContainsFunc(name, unicode.IsSpace) {
		return name + "=" + requote(value)
	}

	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`).Replace(a) + `"`
}

// read returns the text of a file, or of the input for "-".
func (p *program) read(name string) (string, error) {
	from := p.in
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return "", usage("%w", err)
		}
		defer func() { _ = f.Close() }()
		from = f
	}
	data, err := io.ReadAll(io.LimitReader(from, maxFileBytes+1))
	if err != nil {
		return "", errors.Newf("read %s: %w", name, err)
	}
	if len(data) > maxFileBytes {
		return "", usage("%s is larger than %d MiB", name, maxFileBytes>>20)
	}

	return string(data), nil
}

// edits reads a file that may only contain edits. The text is that of the
// statements, without comments.
func (p *program) edits(name string) (edits []*wire.Edit, text string, err error) {
	content, err := p.read(name)
	if err != nil {
		return nil, "", err
	}
	all, err := parser.Parse(content)
	if err != nil {
		return nil, "", errors.Newf("%s: %w", name, err)
	}
	var lines []string
	for _, s := range all {
		if s.Edit == nil {
			return nil, "", usage("%s: line %d: %q is not a change of the configuration; use damaskctl run",
				name, s.Line, s.Text)
		}
		edits = append(edits, s.Edit)
		lines = append(lines, s.Text)
	}
	if len(edits) == 0 {
		return nil, "", usage("%s has no statements", name)
	}

	return edits, strings.Join(lines, "\n"), nil
}
