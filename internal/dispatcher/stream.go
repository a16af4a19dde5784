package dispatcher

import "fmt"

// stream puts the chunks of one decode attempt in order.
type stream struct {
	next    int64 // first chunk not yet emitted
	total   int64 // chunks in the whole answer, -1 before the end marker
	early   map[int64]Arrived
	resumes int // since the last new chunk
}

// maxEarly bounds the chunks held back while an earlier one is missing.
const maxEarly = 4096

func (s *stream) clear() { *s = stream{total: -1, early: make(map[int64]Arrived)} }

func (s *stream) ended(total int64) { s.total = total }

// arrived accepts chunks of the current decode attempt only.
func (m *Machine) arrived(e Arrived) {
	if !m.decode.is(e.ID) || m.decode.step != stepReady {
		return
	}
	s := &m.stream
	if e.Seq < s.next || e.Seq >= s.next+maxEarly {
		return
	}
	if _, ok := s.early[e.Seq]; ok {
		return
	}
	s.early[e.Seq] = e
	s.resumes = 0
	m.decode.until = m.now.Add(m.limits.Gap)
	m.flush()
}

// flush emits what is in order and ends the request after the last chunk.
func (m *Machine) flush() {
	s := &m.stream
	for {
		chunk, ok := s.early[s.next]
		if !ok {
			break
		}
		delete(s.early, s.next)
		s.next++
		m.do(Emit{Seq: chunk.Seq, Text: chunk.Text, Tokens: chunk.Tokens})
	}
	switch {
	case s.total < 0:
	case s.next > s.total || len(s.early) > 0 && s.next == s.total:
		m.giveUp(statusFailed, fmt.Sprintf("the answer has more chunks than its end marker says (%d)", s.total), 0)
	case s.next == s.total:
		m.finish(Outcome{Result: Done, Status: statusOK})
	}
}
