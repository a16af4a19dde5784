package registrar

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/wire"
)

const (
	maxLevel          = 15
	defaultFirstToken = 2 * time.Second
	defaultTokenGap   = 75 * time.Millisecond
	maxTarget         = time.Hour
	maxWorth          = 1_000_000
)

// rank implements configObject for a rank.
type rank struct{ *wire.Rank }

// Defaults implements configObject. The latency targets are those for which the system
// is designed.
func (r rank) Defaults() {
	setDefault(&r.First, defaultFirstToken.Milliseconds())
	setDefault(&r.Gap, defaultTokenGap.Milliseconds())
	setDefault(&r.Worth, 1)
}

// Validate implements configObject.
func (r rank) Validate() error {
	switch {
	case r.GetLevel() < 0 || r.GetLevel() > maxLevel:
		return errors.Newf("level must be from 0 to %d", maxLevel)
	case r.GetFirst() < 0 || r.GetFirst() > maxTarget.Milliseconds():
		return errors.Newf("first must be from 1ms to %s", maxTarget)
	case r.GetGap() < 0 || r.GetGap() > maxTarget.Milliseconds():
		return errors.Newf("gap must be from 1ms to %s", maxTarget)
	case r.GetFloor() < 0 || r.GetFloor() > 100:
		return errors.New("floor must be from 0% to 100%")
	case r.GetWorth() < 0 || r.GetWorth() > maxWorth:
		return errors.Newf("worth must be from 1 to %d", maxWorth)
	}

	return nil
}
