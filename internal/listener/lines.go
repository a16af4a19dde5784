package listener

import "bytes"

// lines finds the bytes of the headers that the parser reports. The parser drops
// blanks before a colon, so that a balancer in front which does not would see another
// length of the body.
type lines struct {
	data []byte // since the header began, or of this read
	next int    // of the line after the last one found
}

// feed takes what the parser is about to read. kept tells that the header it belongs
// to began in an earlier read.
func (l *lines) feed(data []byte, kept bool) {
	if kept {
		l.data = append(l.data, data...)

		return
	}
	l.data, l.next = data, 0
}

// settle is called after the parser has read: the bytes are the poller's, and only
// those of a header that goes on are needed.
func (l *lines) settle(kept, heading bool) {
	switch {
	case !heading:
		l.data = nil
	case !kept:
		l.data = bytes.Clone(l.data)
	}
}

// blank tells whether the line of the header, the next one with its name, has a blank
// before the colon.
func (l *lines) blank(name string) bool {
	for l.next < len(l.data) {
		line, _, whole := bytes.Cut(l.data[l.next:], []byte("\n"))
		written, _, _ := bytes.Cut(line, []byte(":"))
		trimmed := bytes.TrimRight(written, " \t")
		found := bytes.EqualFold(trimmed, []byte(name))
		if !found && !whole {
			return false
		}
		// The parser reports a header at its CR, which may be the last byte so far.
		l.next += len(line)
		if whole {
			l.next++
		}
		if found {
			return len(trimmed) < len(written)
		}
	}

	return false
}
