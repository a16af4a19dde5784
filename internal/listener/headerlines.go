package listener

import "bytes"

// headerLines keeps the raw header lines to detect white space before a colon. The parser
// drops such white space and accepts the header; a balancer in front that ignores the
// header instead would compute another body length (request smuggling).
type headerLines struct {
	data   []byte // from the start of the headers, or from the start of this read
	offset int    // start of the line after the last one found
}

// feed adds the bytes that the parser is about to read. continued reports whether the
// headers began in an earlier read.
func (l *headerLines) feed(data []byte, continued bool) {
	if continued {
		l.data = append(l.data, data...)

		return
	}
	l.data, l.offset = data, 0
}

// retain is called after the parser has read. The buffer belongs to the poller, so
// retain copies it if the headers continue in the next read, and drops it otherwise.
func (l *headerLines) retain(continued, inHeader bool) {
	switch {
	case !inHeader:
		l.data = nil
	case !continued:
		l.data = bytes.Clone(l.data)
	}
}

// hasBlankBeforeColon reports whether the next line with this header name has white space
// before the colon.
func (l *headerLines) hasBlankBeforeColon(name string) bool {
	for l.offset < len(l.data) {
		line, _, complete := bytes.Cut(l.data[l.offset:], []byte("\n"))
		rawName, _, _ := bytes.Cut(line, []byte(":"))
		trimmed := bytes.TrimRight(rawName, " \t")
		found := bytes.EqualFold(trimmed, []byte(name))
		if !found && !complete {
			return false
		}
		// The parser reports a header at its CR, so the LF may not have been read yet.
		l.offset += len(line)
		if complete {
			l.offset++
		}
		if found {
			return len(trimmed) < len(rawName)
		}
	}

	return false
}
