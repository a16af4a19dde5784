package logger

import (
	"io"
	"strconv"
	"strings"

	"github.com/phuslu/log"
)

// formatLine writes a log event as one line of key=value pairs. It implements the
// formatter of log.ConsoleWriter.
func formatLine(w io.Writer, a *log.FormatterArgs) (int, error) {
	var b strings.Builder
	pair := func(key, value string) {
		if b.Len() > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(key)
		b.WriteByte('=')
		b.WriteString(quoteIfNeeded(value))
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

// quoteIfNeeded quotes text that is empty or contains spaces, control characters,
// double quotes or equals signs. Other text is left unquoted to keep lines short.
func quoteIfNeeded(text string) string {
	plain := text != "" && strings.IndexFunc(text, func(r rune) bool {
		return r <= ' ' || r == '"' || r == '=' || r == 0x7f
	}) < 0
	if plain {
		return text
	}

	return strconv.Quote(text)
}

// droppedNotice returns the log line that reports n dropped lines.
func droppedNotice(n int) string {
	return "level=warn msg=\"log lines dropped\" count=" + strconv.Itoa(n) + "\n"
}
