package observer

import (
	"slices"
	"time"
)

const (
	// keptAnswers is the number of answers whose median is the answer time of a server, and
	// minAnswers the number without which it is unknown: the work of requests differs, so that
	// a single answer says little.
	keptAnswers = 5
	minAnswers  = 3
	// answerAge is how long an answer counts. It bounds how long a server is avoided that was
	// slow and has not been used since.
	answerAge = 10 * time.Second
)

// Book keeps the answer times of servers by id. It is not safe for concurrent use.
type Book struct {
	answers map[string][]answer
}

// answer is the time that one answer took.
type answer struct {
	at   time.Time
	took time.Duration
}

// NewBook returns an empty Book.
func NewBook() *Book { return &Book{answers: make(map[string][]answer)} }

// Observe records an answer of a server.
func (b *Book) Observe(now time.Time, server string, took time.Duration) {
	list := b.answers[server]
	if len(list) == keptAnswers {
		list = slices.Delete(list, 0, 1)
	}
	b.answers[server] = append(list, answer{now, took})
}

// Answer returns the usual time of a server's recent answers, 0 if it is unknown.
func (b *Book) Answer(now time.Time, server string) time.Duration {
	var times []time.Duration
	for _, a := range b.answers[server] {
		if now.Sub(a.at) <= answerAge {
			times = append(times, a.took)
		}
	}
	if len(times) < minAnswers {
		return 0
	}

	return median(times)
}

// Forget forgets a server that has started again, or is gone.
func (b *Book) Forget(server string) { delete(b.answers, server) }
