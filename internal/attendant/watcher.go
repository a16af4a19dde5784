package attendant

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"github.com/damasklever/damasklever/internal/driver"
)

const (
	// bootTimeout bounds the check whether a server whose watch stream broke
	// still runs.
	bootTimeout = 500 * time.Millisecond
	// bootTries is the number of such checks before a server that accepts
	// connections but does not answer counts as crashed. A busy machine must not
	// be taken for a crash.
	bootTries = 4
	// probeInterval is the time between two checks of a plain service.
	probeInterval = time.Second
	// reviveInterval is the time between checks while the server is down.
	reviveInterval = 50 * time.Millisecond
)

// errOther keeps an agent from cancelling the work of a foreign engine that took
// over the address while its own was down.
var errOther = errors.New("another engine answers at the backend server's address; restart the agent to adopt it")

var errBoot = errors.New("the engine has restarted")

// down ends everything that ran on the backend server.
func (a *Attendant) down() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.keeper.up {
		return
	}
	a.endLife()
	a.deps.Log.Warn().Str("server", a.settings.Name).Int("attempts", len(a.keeper.attempts)).Msg("crash")
	a.perform(a.keeper.Down(a.deps.Timer.Now()))
	a.forgetCache()
}

func (a *Attendant) up() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.life, a.endLife = context.WithCancel(a.ctx)
	a.keeper.Up()
	a.deps.Log.Info().Str("server", a.settings.Name).Msg("ready")
	select {
	case <-a.ready:
	default:
		close(a.ready)
	}
}

// watchPlain checks that the service listens.
func (a *Attendant) watchPlain(ctx context.Context) {
	for {
		wait := probeInterval
		switch listens := a.backend.Probe(ctx); {
		case ctx.Err() != nil:
			return
		case listens && !a.isUp():
			a.up()
		case !listens:
			a.down()
			wait = reviveInterval
		}
		if !sleep(ctx, wait) {
			return
		}
	}
}

func (a *Attendant) isUp() bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.keeper.up
}

// watchEngine follows the engine's watch stream. Its end, together with a failed
// check or another start number, is a crash.
func (a *Attendant) watchEngine(ctx context.Context) {
	var boot int64
	for ctx.Err() == nil {
		if !a.isUp() {
			b, err := a.reconcile(ctx)
			if err != nil {
				level, wait := log.DebugLevel, reviveInterval
				if errors.Is(err, errOther) {
					level, wait = log.ErrorLevel, probeInterval
				}
				a.deps.Log.WithLevel(level).Err(err).Str("server", a.settings.Name).Msg("reconcile")
				sleep(ctx, wait)

				continue
			}
			boot = b
			a.readRole(ctx)
			a.up()
		}
		err := a.followEngine(ctx, boot)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errBoot) || a.hasCrashed(ctx, boot) {
			a.down()
		}
	}
}

// hasCrashed tells a crash from a lost watch stream: nothing listens any more,
// the engine has another start number, or it does not answer at all.
func (a *Attendant) hasCrashed(ctx context.Context, boot int64) bool {
	for range bootTries {
		now, err := a.boot(ctx)
		if err == nil {
			return now != boot
		}
		if ctx.Err() != nil {
			return false
		}
		if errors.Is(err, driver.ErrUnreachable) {
			return true
		}
	}

	return true
}

// followEngine passes events on until the stream breaks or shows another start.
func (a *Attendant) followEngine(ctx context.Context, boot int64) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	other := false
	err := a.backend.Watch(ctx, func(e driver.Event) {
		if e.BootID != 0 && e.BootID != boot {
			other = true
			cancel()
		}
		if e.Seq != 0 && !other {
			a.cached(e)
		}
	})
	if other {
		return errBoot
	}
	if err != nil {
		return errors.Newf("follow engine: %w", err)
	}

	return nil
}

// boot reads the start number of the engine. Only the watcher calls it.
func (a *Attendant) boot(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, bootTimeout)
	defer cancel()
	var first driver.Event
	err := a.backend.Watch(ctx, func(e driver.Event) {
		if e.BootID != 0 {
			first = e
			cancel()
		}
	})
	if first.BootID == 0 {
		return 0, errors.Newf("read start number: %w", err)
	}
	if a.engine == "" {
		a.engine = first.Name
	}
	if first.Name != a.engine {
		return 0, errors.Newf("engine %q: %w", first.Name, errOther)
	}

	return first.BootID, nil
}

// reconcile cancels everything that the engine runs, and returns its start
// number when it holds nothing. Nothing was granted by this process since the
// engine's start, so no live grant can be among it.
func (a *Attendant) reconcile(ctx context.Context) (int64, error) {
	boot, err := a.boot(ctx)
	if err != nil {
		return 0, err
	}
	for {
		list, err := a.backend.Work(ctx)
		if err != nil {
			return 0, errors.Newf("reconcile: %w", err)
		}
		if len(list) == 0 {
			return boot, nil
		}
		for _, w := range list {
			a.deps.Log.Info().Str("server", a.settings.Name).Str("id", w.ID).Str("state", w.State).Msg("reconcile")
			if err := a.backend.Cancel(ctx, w.ID); err != nil {
				return 0, errors.Newf("reconcile: %w", err)
			}
		}
	}
}

// readRole takes the role that the engine has, which an order or a restart of
// the engine may have changed since the settings were written.
func (a *Attendant) readRole(ctx context.Context) {
	load, err := a.backend.Load(ctx)
	if err != nil || (load.Role != phasePrefill && load.Role != phaseDecode) {
		return
	}
	a.mu.Lock()
	a.phase, a.rate = load.Role, rateOf(load)
	a.mu.Unlock()
	select {
	case a.kick <- struct{}{}:
	default:
	}
}

// sweep cancels what the engine holds without an attempt, and reads its rate.
func (a *Attendant) sweep(ctx context.Context) {
	if a.settings.Phase == phasePlain || !a.isUp() {
		return
	}
	asked := a.deps.Timer.Now()
	list, err := a.backend.Work(ctx)
	if err != nil {
		return
	}
	ids := make([]string, 0, len(list))
	for _, w := range list {
		ids = append(ids, w.ID)
	}
	a.mu.Lock()
	orphans, actions := a.keeper.Sweep(a.deps.Timer.Now(), asked, ids)
	a.perform(actions)
	a.mu.Unlock()
	for _, id := range orphans {
		a.deps.Log.Warn().Str("server", a.settings.Name).Str("id", id).Msg("orphaned work")
		_ = a.backend.Cancel(ctx, id) // repeated by the next sweep
	}
	if load, err := a.backend.Load(ctx); err == nil {
		a.mu.Lock()
		a.rate = rateOf(load)
		a.mu.Unlock()
	}
}

// maxRate bounds what an engine may report.
const maxRate = 1e12

// rateOf is the rate of a Load message: prefill tokens a second, or the time
// between decoded tokens in microseconds.
func rateOf(l driver.Load) int64 {
	rate := l.Rate
	if l.Role != phasePrefill && rate > 0 {
		rate = float64(time.Second/time.Microsecond) / rate
	}

	return int64(min(max(rate, 0), maxRate))
}
