package blamer

import (
	"slices"

	"github.com/cockroachdb/errors"
	lru "github.com/hashicorp/golang-lru/v2"
)

// defaultSurvivors is the number of digests that a process remembers: those of some
// minutes.
const defaultSurvivors = 1024

// Survivors remembers requests that servers have lately run to an end. It answers the
// load of callers who send the same harmless request again and again while servers crash
// for other reasons: such a request is at many crashes, and in between it runs well. Its
// methods may be called from any goroutine.
type Survivors struct {
	digests *lru.Cache[string, struct{}]
}

// NewSurvivors returns an empty memory.
func NewSurvivors() (*Survivors, error) {
	digests, err := lru.New[string, struct{}](defaultSurvivors)
	if err != nil {
		return nil, errors.Newf("memory of requests that ran to an end: %w", err)
	}

	return &Survivors{digests: digests}, nil
}

// Ran notes that a server has run a request to its end.
func (s *Survivors) Ran(digest string) { s.digests.Add(digest, struct{}{}) }

// Suspects returns the digests that may have caused a crash at which they were in flight,
// those that have not run to an end since the crash before.
func (s *Survivors) Suspects(digests []string) []string {
	return slices.DeleteFunc(slices.Clone(digests), s.digests.Remove)
}
