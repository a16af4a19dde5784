package agent

import (
	"time"

	"github.com/damasklever/damasklever/internal/wire"
)

// resultShare is the share of the process's memory for results of finished attempts, and
// answerShare that for answers that are being received and sent: one part in so many.
const (
	resultShare = 8
	answerShare = 4
)

// resultHolder bounds the memory of the answers that are kept for entries that lost their
// streams.
type resultHolder struct {
	bytes int64
	order []string // ids of the attempts, oldest first
}

// keepResult counts the answer of a finished attempt. The oldest attempts are forgotten before
// their retention time if the answers have become too large together.
func (m *machine) keepResult(now time.Time, a *attempt, answer *wire.Answer) {
	if m.settings.resultBytes == 0 {
		return
	}
	a.resultBytes = int64(len(answer.GetBody()))
	m.results.bytes += a.resultBytes
	m.results.order = append(m.results.order, a.id)
	for m.results.bytes > m.settings.resultBytes && len(m.results.order) > 0 {
		oldest := m.attempts[m.results.order[0]]
		m.results.order = m.results.order[1:]
		if oldest != nil && !oldest.active() {
			m.removeAttempt(now, oldest)
		}
	}
}

// forgetResult is called when an attempt is removed.
func (m *machine) forgetResult(a *attempt) {
	m.results.bytes -= a.resultBytes
	a.resultBytes = 0
	for len(m.results.order) > 0 && m.attempts[m.results.order[0]] == nil {
		m.results.order = m.results.order[1:]
	}
}
