package dispatcher

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// stream puts the chunks of an answer in order. After a second prefill, the answer is
// generated again from its start. Chunks that the caller already has are then only
// compared with the emitted ones, not emitted again.
type stream struct {
	next     int64 // next chunk to take from the current attempt
	total    int64 // chunks in the whole answer, -1 until the end marker arrives
	buffered map[int64]ChunkReceived
	hashes   []uint64 // hashes of the emitted chunks
	resumes  int      // resumptions since the last new chunk
}

// maxBuffered limits the chunks buffered while an earlier one is missing.
const maxBuffered = 4096

// reset prepares for the chunks of a new attempt.
func (s *stream) reset() {
	s.next, s.total, s.resumes = 0, -1, 0
	s.buffered = make(map[int64]ChunkReceived)
}

func (s *stream) ended(total int64) { s.total = total }

// emitted returns the number of chunks that the caller has.
func (s *stream) emitted() int64 { return int64(len(s.hashes)) }

// chunkReceived buffers a chunk of the current decode attempt and ignores others.
func (m *Machine) chunkReceived(e ChunkReceived) {
	if !m.decode.isCurrent(e.ID) || m.decode.step != stepReady {
		return
	}
	s := &m.stream
	if e.Seq < s.next || e.Seq >= s.next+maxBuffered {
		return
	}
	if _, ok := s.buffered[e.Seq]; ok {
		return
	}
	s.buffered[e.Seq] = e
	s.resumes = 0
	m.decode.expiry = m.now.Add(m.limits.ChunkTimeout)
	m.flush()
}

// flush emits the chunks that are next in order and ends the request after the last.
func (m *Machine) flush() {
	s := &m.stream
	for {
		chunk, ok := s.buffered[s.next]
		if !ok {
			break
		}
		delete(s.buffered, s.next)
		if !m.acceptChunk(chunk) {
			return
		}
	}
	switch {
	case s.total < 0:
	case s.next > s.total || len(s.buffered) > 0 && s.next == s.total:
		m.fail(statusBadGateway, fmt.Sprintf("the answer has more chunks than its end marker says (%d)", s.total), 0)
	case s.next == s.total && s.next < s.emitted():
		m.answerDiffers()
	case s.next == s.total:
		m.finish(Outcome{Result: Done, Status: statusOK})
	}
}

// acceptChunk emits the next chunk, or compares it with the one that was already
// emitted at its position. It returns false if they differ and the request has ended.
func (m *Machine) acceptChunk(chunk ChunkReceived) bool {
	s := &m.stream
	sum := xxhash.Sum64String(chunk.Text)
	switch {
	case s.next == s.emitted():
		s.hashes = append(s.hashes, sum)
		m.restartDeadline = time.Time{}
		m.addAction(Emit{Seq: chunk.Seq, Text: chunk.Text, Tokens: chunk.Tokens})
	case s.hashes[s.next] != sum:
		m.answerDiffers()

		return false
	}
	s.next++

	return true
}

// answerDiffers ends a request whose second run generated another text, for example
// because the engine samples. The caller must not get the start of one answer and the
// end of another.
func (m *Machine) answerDiffers() {
	m.fail(statusBadGateway, "the answer cannot be continued: a second run gave another text", minRetryAfter)
}
