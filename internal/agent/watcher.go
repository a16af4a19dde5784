package agent

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"github.com/damasklever/damasklever/internal/driver"
)

const (
	// bootIDTimeout bounds one read of the boot ID, which checks whether an engine
	// is still running after its watch stream broke.
	bootIDTimeout = 500 * time.Millisecond
	// maxBootIDChecks is the number of failed reads of the boot ID after which an
	// engine that accepts connections but does not answer counts as crashed. It is
	// greater than 1 so that a busy engine is not mistaken for a crashed one.
	maxBootIDChecks = 4
	// probeInterval is the interval between checks of a plain service.
	probeInterval = time.Second
	// downProbeInterval is the interval between checks while the server is down.
	downProbeInterval = 50 * time.Millisecond
)

// errForeignEngine means that the engine at the backend server's address has another
// name than the agent's own. The agent must not cancel the work of an engine that took
// over the address while its own was down.
var errForeignEngine = errors.New("another engine answers at the backend server's address; restart the agent to use it")

// errEngineRestarted means that the boot ID of the engine has changed.
var errEngineRestarted = errors.New("the engine has restarted")

// backendDown handles a crash of the backend server.
func (a *Agent) backendDown() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.machine.backendUp {
		return
	}
	a.cancelBackend()
	a.deps.Log.Warn().Str("server", a.settings.Name).Int("attempts", len(a.machine.attempts)).Msg("crash")
	a.performActions(a.machine.BackendDown(a.deps.Timer.Now()))
	a.clearCachedPrefixes()
}

// backendStarted makes the agent grant work once the backend server is running.
func (a *Agent) backendStarted() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.backendCtx, a.cancelBackend = context.WithCancel(a.ctx)
	a.machine.BackendUp()
	a.deps.Log.Info().Str("server", a.settings.Name).Msg("ready")
	select {
	case <-a.ready:
	default:
		close(a.ready)
	}
}

// watchPlain checks periodically whether a plain service accepts connections.
func (a *Agent) watchPlain(ctx context.Context) {
	for {
		wait := probeInterval
		switch listens := a.backend.Probe(ctx); {
		case ctx.Err() != nil:
			return
		case listens && !a.isUp():
			a.backendStarted()
		case !listens:
			a.backendDown()
			wait = downProbeInterval
		}
		if !sleep(ctx, wait) {
			return
		}
	}
}

func (a *Agent) isUp() bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.machine.backendUp
}

// watchEngine reads the engine's watch stream until ctx ends. The engine has crashed if
// its boot ID has changed, or if the stream ends and the engine does not answer.
func (a *Agent) watchEngine(ctx context.Context) {
	var bootID int64
	for ctx.Err() == nil {
		if !a.isUp() {
			b, err := a.reconcile(ctx)
			if err != nil {
				level, wait := log.DebugLevel, downProbeInterval
				if errors.Is(err, errForeignEngine) {
					level, wait = log.ErrorLevel, probeInterval
				}
				a.deps.Log.WithLevel(level).Err(err).Str("server", a.settings.Name).Msg("reconcile")
				sleep(ctx, wait)

				continue
			}
			bootID = b
			a.adoptRole(ctx)
			a.backendStarted()
		}
		err := a.followEngine(ctx, bootID)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errEngineRestarted) || a.hasCrashed(ctx, bootID) {
			a.backendDown()
		}
	}
}

// hasCrashed reports whether the engine has crashed, after its watch stream ended. It
// has if it does not accept connections, has another boot ID or does not answer.
// Otherwise only the stream was lost.
func (a *Agent) hasCrashed(ctx context.Context, bootID int64) bool {
	for range maxBootIDChecks {
		now, err := a.bootID(ctx)
		if err == nil {
			return now != bootID
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

// followEngine forwards cache events until the watch stream breaks. It returns
// errEngineRestarted if the engine reports another boot ID.
func (a *Agent) followEngine(ctx context.Context, bootID int64) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	restarted := false
	err := a.backend.Watch(ctx, func(e driver.Event) {
		if e.BootID != 0 && e.BootID != bootID {
			restarted = true
			cancel()
		}
		if e.Seq != 0 && !restarted {
			a.applyCacheEvent(e)
		}
	})
	if restarted {
		return errEngineRestarted
	}
	if err != nil {
		return errors.Newf("follow engine: %w", err)
	}

	return nil
}

// bootID reads the boot ID of the engine, which differs for each of its starts. It may
// only be called by watchEngine, as it sets engineName.
func (a *Agent) bootID(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, bootIDTimeout)
	defer cancel()
	var first driver.Event
	err := a.backend.Watch(ctx, func(e driver.Event) {
		if e.BootID != 0 {
			first = e
			cancel()
		}
	})
	if first.BootID == 0 {
		return 0, errors.Newf("read boot ID: %w", err)
	}
	if a.engineName == "" {
		a.engineName = first.Name
	}
	if first.Name != a.engineName {
		return 0, errors.Newf("engine %q: %w", first.Name, errForeignEngine)
	}

	return first.BootID, nil
}

// reconcile cancels all work of the engine, and returns its boot ID once it holds
// none. This process has granted nothing since the start of the engine, so none of the
// work belongs to a current grant.
func (a *Agent) reconcile(ctx context.Context) (int64, error) {
	bootID, err := a.bootID(ctx)
	if err != nil {
		return 0, err
	}
	for {
		list, err := a.backend.Work(ctx)
		if err != nil {
			return 0, errors.Newf("reconcile: %w", err)
		}
		if len(list) == 0 {
			return bootID, nil
		}
		for _, w := range list {
			a.deps.Log.Info().Str("server", a.settings.Name).Str("id", w.ID).Str("state", w.State).Msg("reconcile")
			if err := a.backend.Cancel(ctx, w.ID); err != nil {
				return 0, errors.Newf("reconcile: %w", err)
			}
		}
	}
}

// adoptRole reads the role of the engine, which may differ from Settings.Phase after an
// order or a restart of the engine.
func (a *Agent) adoptRole(ctx context.Context) {
	load, err := a.backend.Load(ctx)
	if err != nil || (load.Role != phasePrefill && load.Role != phaseDecode) {
		return
	}
	a.mu.Lock()
	a.phase, a.rate = load.Role, loadRate(load)
	a.mu.Unlock()
	select {
	case a.wakeOrders <- struct{}{}:
	default:
	}
}

// compareWork cancels work that the engine holds without an attempt, and updates the
// rate sent in Load messages.
func (a *Agent) compareWork(ctx context.Context) {
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
	orphans, actions := a.machine.CompareWork(a.deps.Timer.Now(), asked, ids)
	a.performActions(actions)
	a.mu.Unlock()
	for _, id := range orphans {
		a.deps.Log.Warn().Str("server", a.settings.Name).Str("id", id).Msg("cancelling orphaned work on engine")
		_ = a.backend.Cancel(ctx, id) // retried by the next comparison
	}
	if load, err := a.backend.Load(ctx); err == nil {
		a.mu.Lock()
		a.rate = loadRate(load)
		a.mu.Unlock()
	}
}

// maxLoadRate limits the rate that an engine may report.
const maxLoadRate = 1e12

// loadRate returns the rate for a Load message: prefill tokens per second, or for the
// decode role the time between two tokens in microseconds.
func loadRate(l driver.Load) int64 {
	rate := l.Rate
	if l.Role != phasePrefill && rate > 0 {
		rate = float64(time.Second/time.Microsecond) / rate
	}

	return int64(min(max(rate, 0), maxLoadRate))
}
