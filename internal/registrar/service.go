package registrar

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/wire"
)

const (
	defaultTokens  = 4_096
	maxTokens      = 1 << 20
	defaultBody    = 1 << 20
	maxBody        = 32 << 20 // messages between processes are limited to 64 MiB
	defaultTimeout = time.Minute
	maxTimeout     = time.Hour
	maxRetention   = 30 * 24 * time.Hour
)

// service implements configObject for a service.
type service struct{ *wire.Service }

// Defaults implements configObject.
func (s service) Defaults() {
	if s.Kind == wire.Kind_KIND_UNKNOWN {
		s.Kind = wire.Kind_KIND_MODEL
	}
	if s.Kind == wire.Kind_KIND_MODEL && s.Model == "" {
		s.Model = s.Name
	}
	setDefault(&s.Limit, defaultTokens)
	setDefault(&s.Body, defaultBody)
	setDefault(&s.Timeout, defaultTimeout.Milliseconds())
	setDefault(&s.Retention, int64(defaultRetention/time.Second))
}

// setDefault sets a field that is zero.
func setDefault(field *int64, value int64) {
	if *field == 0 {
		*field = value
	}
}

// Validate implements configObject.
func (s service) Validate() error {
	timeout := time.Duration(s.GetTimeout()) * time.Millisecond
	retention := time.Duration(s.GetRetention()) * time.Second
	switch {
	case s.GetLimit() < 0 || s.GetLimit() > maxTokens:
		return errors.Newf("limit must be from 1 to %d tokens", maxTokens)
	case s.GetBody() < 0 || s.GetBody() > maxBody:
		return errors.Newf("body must be from 1 byte to %d MiB", maxBody>>20)
	case s.GetTimeout() < 0 || s.GetTimeout() > maxTimeout.Milliseconds():
		return errors.Newf("timeout must be from 1ms to %s", maxTimeout)
	case s.GetRetention() < 0 || s.GetRetention() > int64(maxRetention/time.Second):
		return errors.Newf("retention must be from 1s to %s", maxRetention)
	case retention <= timeout:
		// Otherwise the key of a call that is still running could be claimed again.
		return errors.New("retention must be longer than timeout")
	case s.GetKind() == wire.Kind_KIND_MODEL && len(s.GetRoutes()) > 0:
		return errors.New("only a plain service has routes")
	case s.GetKind() == wire.Kind_KIND_PLAIN && s.GetModel() != "":
		return errors.New("a plain service has no model")
	}

	return s.validateRoutes()
}

func (s service) validateRoutes() error {
	for _, r := range s.GetRoutes() {
		notUpper := func(c rune) bool { return c < 'A' || c > 'Z' }
		if r.GetMethod() == "" || strings.ContainsFunc(r.GetMethod(), notUpper) {
			return errors.Newf("route method %q must be in capital letters", r.GetMethod())
		}
		if !strings.HasPrefix(r.GetPrefix(), "/") || strings.ContainsAny(r.GetPrefix(), " ,") {
			return errors.Newf("route prefix %q must begin with / and have no spaces or commas", r.GetPrefix())
		}
	}

	return nil
}
