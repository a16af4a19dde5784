package reporter

import (
	"io"
	"strconv"
	"strings"

	"github.com/phuslu/log"
)

// formatLine writes an event as one line of key=value pairs.
func formatLine(w io.Writer, a *log.FormatterArgs) (int, error) {
	var b strings.Builder
	pair := func(key, value string) {
		if b.Len() > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(key)
		b.WriteByte('=')
		b.WriteString(quote(value))
	}
	pair("time", a.Time)
	pair("level", a.Level)
	pair("msg", a.Message)
	for _, kv := range a.KeyValues {
		pair(kv.Key, kv.Value)
	}
	b.WriteByte('\n')

	return io.WriteString(w, b.String())
}

// quote leaves plain words as they are, so that lines stay short.
func quote(text string) string {
	plain := text != "" && strings.IndexFunc(text, func(r rune) bool {
		return r <= ' ' || r == '"' || r == '=' || r == 0x7f
	}) < 0
	if plain {
		return text
	}

	return strconv.Quote(text)
}

// lost is the line that stands for lines that were dropped.
func lost(n int) string {
	return "level=warn msg=\"log lines dropped\" count=" + strconv.Itoa(n) + "\n"
}
