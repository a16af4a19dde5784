package registrar

import (
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/wire"
)

const (
	// defaultShare, in percent, leaves room for a second caller of the same rank.
	defaultShare = 50
	maxOrder     = 1_000_000
)

// rule implements configObject for a rule.
type rule struct{ *wire.Rule }

// Defaults implements configObject.
func (r rule) Defaults() {
	if r.Caller == "" {
		r.Caller = "*"
	}
	if r.Share == 0 {
		r.Share = defaultShare
	}
}

// Validate implements configObject.
func (r rule) Validate() error {
	switch {
	case r.GetService() == "":
		return errors.New("service is missing")
	case r.GetRank() == "":
		return errors.New("rank is missing")
	case r.GetOrder() < 0 || r.GetOrder() > maxOrder:
		return errors.Newf("order must be from 0 to %d", maxOrder)
	case strings.Contains(strings.TrimSuffix(r.GetCaller(), "*"), "*"):
		return errors.New("caller may have a * at its end only")
	case r.GetShare() < 0 || r.GetShare() > 100:
		return errors.New("share must be from 1% to 100%")
	}

	return nil
}
