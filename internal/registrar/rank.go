package registrar

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/wire"
)

const (
	maxLevel     = 15
	defaultFirst = 2 * time.Second
	defaultGap   = 75 * time.Millisecond
	maxTarget    = time.Hour
	maxWorth     = 1_000_000
)

type rank struct{ *wire.Rank }

// Defaults implements model. The targets are those of the design size.
func (r rank) Defaults() {
	fill(&r.First, defaultFirst.Milliseconds())
	fill(&r.Gap, defaultGap.Milliseconds())
	fill(&r.Worth, 1)
}

// Validate implements model.
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
