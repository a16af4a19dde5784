package parser

import (
	"strings"
	"unicode"
)

// kind is the kind of a token.
type kind int

const (
	end kind = iota
	word
	operator
)

type token struct {
	kind   kind
	text   string
	col    int // column of the first character, from 1
	quoted bool
}

// is reports whether the token is the keyword or operator text. A quoted word is not a
// keyword.
func (t token) is(text string) bool { return !t.quoted && t.text == text && t.kind != end }

// describe returns the token as it is shown in an error message.
func (t token) describe() string {
	if t.kind == end {
		return "the end of the statement"
	}

	return quote(t.text, true)
}

const operators = "=!<>~"

// lexer splits a line into statements and these into tokens.
type lexer struct {
	line  int
	text  string
	runes []rune
	pos   int
}

// split returns the tokens of each statement in the line. The last token of a statement
// is of kind end.
func (l *lexer) split() ([][]token, error) {
	var all [][]token
	var current []token
	for {
		l.skipSpace()
		col := l.pos + 1
		if l.pos >= len(l.runes) || l.runes[l.pos] == '#' || l.runes[l.pos] == ';' {
			if len(current) > 0 {
				all = append(all, append(current, token{col: col}))
				current = nil
			}
			if l.pos < len(l.runes) && l.runes[l.pos] == ';' {
				l.pos++

				continue
			}

			return all, nil
		}
		t, err := l.next()
		if err != nil {
			return nil, err
		}
		current = append(current, t)
	}
}

func (l *lexer) skipSpace() {
	for l.pos < len(l.runes) && unicode.IsSpace(l.runes[l.pos]) {
		l.pos++
	}
}

func (l *lexer) next() (token, error) {
	start := l.pos
	switch c := l.runes[l.pos]; {
	case c == '"':
		return l.quoted()
	case strings.ContainsRune(operators, c):
		l.pos++
		if strings.ContainsRune("!<>", c) && l.pos < len(l.runes) && l.runes[l.pos] == '=' {
			l.pos++
		}
		text := string(l.runes[start:l.pos])
		if text == "!" {
			return token{}, l.fail(start, "!=", `"!"`)
		}

		return token{kind: operator, text: text, col: start + 1}, nil
	}
	for l.pos < len(l.runes) && isWord(l.runes[l.pos]) {
		l.pos++
	}

	return token{kind: word, text: string(l.runes[start:l.pos]), col: start + 1}, nil
}

func isWord(c rune) bool {
	return !unicode.IsSpace(c) && c != '"' && c != ';' && !strings.ContainsRune(operators, c)
}

func (l *lexer) quoted() (token, error) {
	start := l.pos
	var out strings.Builder
	for l.pos++; l.pos < len(l.runes); l.pos++ {
		switch c := l.runes[l.pos]; c {
		case '"':
			l.pos++

			return token{kind: word, text: out.String(), col: start + 1, quoted: true}, nil
		case '\\':
			l.pos++
			if l.pos >= len(l.runes) {
				return token{}, l.fail(start, "a closing quote", "the end of the line")
			}
			e, ok := unescape(l.runes[l.pos])
			if !ok {
				return token{}, l.fail(l.pos-1, `one of \" \\ \n \r \t`, `"\`+string(l.runes[l.pos])+`"`)
			}
			out.WriteRune(e)
		default:
			out.WriteRune(c)
		}
	}

	return token{}, l.fail(start, "a closing quote", "the end of the line")
}

func unescape(c rune) (rune, bool) {
	switch c {
	case '"', '\\':
		return c, true
	case 'n':
		return '\n', true
	case 'r':
		return '\r', true
	case 't':
		return '\t', true
	default:
		return 0, false
	}
}

func (l *lexer) fail(pos int, want, got string) error {
	return &Error{Line: l.line, Column: pos + 1, Text: l.text, Want: want, Got: got}
}

// quote returns a word in the form that the lexer reads back as the same word. It adds
// quotes only where they are needed, unless always is set.
func quote(text string, always bool) string {
	plain := text != "" && text[0] != '#' && !strings.ContainsRune(text, '\\')
	for _, c := range text {
		plain = plain && isWord(c) && unicode.IsPrint(c)
	}
	if plain && !always {
		return text
	}

	return `"` + strings.NewReplacer(`"`, `\"`, `\`, `\\`, "\n", `\n`, "\r", `\r`, "\t", `\t`).Replace(text) + `"`
}
