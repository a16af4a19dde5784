package observer

import (
	"slices"
	"time"
)

const (
	// keptTurns is the number of turns whose median is the speed, and minTurns the number
	// without which it is unknown.
	keptTurns = 8
	minTurns  = 3
	// minTurnTokens is the length of the shortest prompt whose turn is measured. The time of
	// shorter ones is mostly that of the messages.
	minTurnTokens = 256
	// minPrompt and maxPrompt bound plausible measurements. A turn that was given back unused
	// is below.
	minPrompt = 2 * time.Microsecond
	maxPrompt = 10 * time.Millisecond
)

// promptMeter measures the time for each prompt token from the turns of a server that processes
// one prompt after another.
type promptMeter struct {
	times  []time.Duration // of the last turns, for each token
	latest time.Time       // end of the last turn
}

// observe adds one turn. The server began with it when it was granted or when the turn before
// it ended, whichever was later.
func (m *promptMeter) observe(granted, ended time.Time, tokens int) {
	start := granted
	if m.latest.After(start) {
		start = m.latest
	}
	if ended.After(m.latest) {
		m.latest = ended
	}
	if tokens < minTurnTokens {
		return
	}
	t := ended.Sub(start) / time.Duration(tokens)
	if t < minPrompt || t > maxPrompt {
		return
	}
	m.times = append(m.times, t)
	if len(m.times) > keptTurns {
		m.times = slices.Delete(m.times, 0, 1)
	}
}

func (m *promptMeter) value(now time.Time) time.Duration {
	if len(m.times) < minTurns || now.Sub(m.latest) > maxAge {
		return 0
	}

	return median(slices.Clone(m.times))
}
