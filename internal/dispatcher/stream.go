package dispatcher

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// stream puts the chunks of an answer in order. After a second prefill the
// answer is generated again from its start; the chunks that the caller has
// already are compared with it and not emitted again.
type stream struct {
	seen    int64 // first chunk not yet taken from the current attempt
	total   int64 // chunks in the whole answer, -1 before the end marker
	early   map[int64]Arrived
	sums    []uint64 // hashes of the emitted chunks
	resumes int      // since the last new chunk
}

// maxEarly bounds the chunks held back while an earlier one is missing.
const maxEarly = 4096

// begin prepares for the chunks of a new attempt.
func (s *stream) begin() {
	s.seen, s.total, s.resumes = 0, -1, 0
	s.early = make(map[int64]Arrived)
}

func (s *stream) ended(total int64) { s.total = total }

// emitted is the number of chunks that the caller has.
func (s *stream) emitted() int64 { return int64(len(s.sums)) }

// arrived accepts chunks of the current decode attempt only.
func (m *Machine) arrived(e Arrived) {
	if !m.decode.is(e.ID) || m.decode.step != stepReady {
		return
	}
	s := &m.stream
	if e.Seq < s.seen || e.Seq >= s.seen+maxEarly {
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
		chunk, ok := s.early[s.seen]
		if !ok {
			break
		}
		delete(s.early, s.seen)
		if !m.accept(chunk) {
			return
		}
	}
	switch {
	case s.total < 0:
	case s.seen > s.total || len(s.early) > 0 && s.seen == s.total:
		m.giveUp(statusFailed, fmt.Sprintf("the answer has more chunks than its end marker says (%d)", s.total), 0)
	case s.seen == s.total && s.seen < s.emitted():
		m.differs()
	case s.seen == s.total:
		m.finish(Outcome{Result: Done, Status: statusOK})
	}
}

// accept emits the next chunk, or compares it with the one that was emitted in its
// place. It returns false if the request has ended.
func (m *Machine) accept(chunk Arrived) bool {
	s := &m.stream
	sum := xxhash.Sum64String(chunk.Text)
	switch {
	case s.seen == s.emitted():
		s.sums = append(s.sums, sum)
		m.patience = time.Time{}
		m.do(Emit{Seq: chunk.Seq, Text: chunk.Text, Tokens: chunk.Tokens})
	case s.sums[s.seen] != sum:
		m.differs()

		return false
	}
	s.seen++

	return true
}

// differs ends a request whose answer was generated a second time with another
// text, as by an engine that samples. The caller must not get the start of one
// answer and the end of another.
func (m *Machine) differs() {
	m.giveUp(statusFailed, "the answer cannot be continued: a second run gave another text", minRetryAfter)
}
