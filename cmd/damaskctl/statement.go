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

// maxFileBytes limits the size of a file of statements, because a change is stored as one entry
// of the log.
const maxFileBytes = 4 << 20

// joinArgs joins command-line arguments to one text. A single argument is returned unchanged; of
// several, those with spaces are quoted again, since the shell has removed the quotes.
func joinArgs(args []string) string {
	if len(args) == 1 {
		return args[0]
	}
	words := make([]string, len(args))
	for i, a := range args {
		words[i] = a
		if a == "" || strings.ContainsFunc(a, unicode.IsSpace) {
			words[i] = quoteArg(a)
		}
	}

	return strings.Join(words, " ")
}

// quoteArg quotes an argument. Of an argument of the form field=value, it quotes the value only.
func quoteArg(a string) string {
	name, value, found := strings.Cut(a, "=")
	if found && name != "" && !strings.ContainsFunc(name, unicode.IsSpace) {
		return name + "=" + quoteArg(value)
	}

	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`).Replace(a) + `"`
}

// readFile returns the content of a file, or of the standard input if name is "-".
func (p *program) readFile(name string) (string, error) {
	from := p.in
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return "", usageErrorf("%w", err)
		}
		defer func() { _ = f.Close() }()
		from = f
	}
	data, err := io.ReadAll(io.LimitReader(from, maxFileBytes+1))
	if err != nil {
		return "", errors.Newf("read %s: %w", name, err)
	}
	if len(data) > maxFileBytes {
		return "", usageErrorf("%s is larger than %d MiB", name, maxFileBytes>>20)
	}

	return string(data), nil
}

// edits parses a file that may only contain edits. The returned text consists of the statements
// without comments.
func (p *program) edits(name string) (edits []*wire.Edit, text string, err error) {
	content, err := p.readFile(name)
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
			return nil, "", usageErrorf("%s: line %d: %q is not a change of the configuration; use damaskctl run",
				name, s.Line, s.Text)
		}
		edits = append(edits, s.Edit)
		lines = append(lines, s.Text)
	}
	if len(edits) == 0 {
		return nil, "", usageErrorf("%s has no statements", name)
	}

	return edits, strings.Join(lines, "\n"), nil
}
