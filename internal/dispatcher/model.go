package dispatcher

import "time"

// advance starts every step whose preconditions are met. Decode memory is reserved
// before the prefill, because a prefill result is evicted in under a second.
func (m *Machine) advance() {
	if m.run.step == stepGranted {
		m.dispatchRun()
	}
	if m.finished {
		return
	}
	if m.isPlain() {
		if m.run.step == stepIdle {
			m.ask(&m.run, "")
		}

		return
	}
	if m.decode.step == stepIdle {
		m.ask(&m.decode, m.prefill.server())
	}
	if !m.finished && m.prefill.step == stepIdle && m.decode.step == stepGranted {
		m.ask(&m.prefill, m.decode.server())
	}
	if !m.finished && m.prefill.step == stepGranted && m.decode.step == stepGranted {
		m.dispatchPrefill()
	}
	if !m.finished && m.prefill.step == stepReady && m.decode.step == stepGranted {
		m.dispatchImport()
	}
}

// dispatch marks the current attempt of a track as dispatched and returns it. The step
// times out after limit.
func (m *Machine) dispatch(t *track, limit time.Duration) *attempt {
	t.step = stepDispatched
	t.expiry = m.now.Add(limit)
	t.current.dispatched = true
	m.unconfirmed[t.current.id] = true

	return t.current
}

func (m *Machine) dispatchPrefill() {
	a := m.dispatch(&m.prefill, m.limits.Prefill)
	m.addAction(Prefill{ID: a.id, Server: a.server})
}

func (m *Machine) dispatchImport() {
	m.transfers++
	a := m.dispatch(&m.decode, m.limits.Transfer)
	m.addAction(Import{
		ID: a.id, Server: a.server, Handle: m.handle.Handle, Source: m.handle.Source,
		From: m.prefill.server(), Tokens: m.handle.Tokens,
	})
}

func (m *Machine) prefilled(e Prefilled) {
	if !m.prefill.isCurrent(e.ID) || m.prefill.step != stepDispatched {
		return
	}
	m.prefill.step = stepReady
	m.prefill.expiry = time.Time{}
	m.handle = e
	m.transfers, m.handleExpiry = 0, m.now.Add(m.limits.HandleLifetime)
	m.advance()
}

func (m *Machine) imported(e Imported) {
	if !m.decode.isCurrent(e.ID) || m.decode.step != stepDispatched {
		return
	}
	m.decode.step = stepReady
	m.decode.expiry = m.now.Add(m.limits.ChunkTimeout)
	m.stream.reset()
	m.addAction(Decode{ID: e.ID, Server: m.decode.current.server, Limit: m.req.Limit})
	// The prefill server may now evict the KV cache.
	m.resetTrack(&m.prefill)
	m.prefill.step = stepDone
}

// modelAttemptFailed handles the failure of the current prefill or decode attempt.
func (m *Machine) modelAttemptFailed(t *track, reason string) {
	switch {
	case t.step == stepGranted:
		// Nothing was dispatched, so another server is asked without a retry.
		t.reason = reason
		m.resetTrack(t)
		m.advance()
	case t == &m.decode && t.step == stepDispatched && m.transfers < maxTransfers && m.now.Before(m.handleExpiry):
		// While the prefill server keeps the KV cache, another decode server can
		// import it. No work is repeated, so the retry budget is not charged.
		m.addAction(Retried{Server: t.server(), Phase: t.phase, Reason: reason})
		t.reason = reason
		m.resetTrack(t)
		m.advance()
	default:
		m.restartPrefill(t, reason, t == &m.decode && t.step == stepDispatched)
	}
}

const (
	// maxTransfers is the number of transfers tried before a second prefill: the
	// first, its repetition, and one to another decode server.
	maxTransfers = 3
	// repeatGrantTimeout is how long the server of a stalled transfer is asked alone.
	// It covers a message to the agent, the cancellation on the engine and the reply,
	// and is short compared with the lifetime of a prefill result.
	repeatGrantTimeout = 50 * time.Millisecond
	// reasonStalled is also the reason that an agent gives when it ends a transfer
	// that makes no progress.
	reasonStalled = "stalled"
)

// isForTransfer reports whether the track asks for a grant to transfer a prefill
// result once more.
func (m *Machine) isForTransfer(t *track) bool {
	return t == &m.decode && m.transfers > 0 && m.prefill.step == stepReady
}

// canRepeatTransfer reports whether the track runs the first transfer of the prefill
// result. Only that one is repeated on the same server.
func (m *Machine) canRepeatTransfer(t *track) bool {
	return t == &m.decode && t.step == stepDispatched && m.transfers == 1
}

// repeatTransfer repeats a stalled transfer on the same decode server, which has the
// memory for it even if all other servers are full. An agent neither runs two
// transfers for one attempt nor restarts one that has ended, so the repetition needs
// a new attempt. Its Ask is sent before the Withdraw of the old attempt: an ask whose
// prefill is done comes first within its rank, so it gets the memory that the
// withdrawn attempt frees.
func (m *Machine) repeatTransfer(reason string) {
	t := &m.decode
	old := t.current
	m.addAction(Retried{Server: old.server, Phase: t.phase, Reason: reason})
	t.current, t.step, t.reason = nil, stepAsked, reason
	t.repeatingTransfer = true
	t.expiry = m.now.Add(repeatGrantTimeout)
	m.askServer(t, old.server)
	m.withdraw(old)
}

// restartPrefill takes a retry and runs a new prefill. transfer means that the KV
// cache could not be transferred.
func (m *Machine) restartPrefill(t *track, reason string, transfer bool) {
	server := t.server()
	if !m.takeRetry(server, t.phase, reason) {
		return
	}
	if transfer {
		// All transfers came from the same prefill server, so it is avoided and the
		// decode servers are not.
		m.decode.failed = nil
		m.prefill.failed = append(m.prefill.failed, m.prefill.server())
	} else {
		t.failed = append(t.failed, server)
	}
	m.handle, m.transfers = Prefilled{}, 0
	m.resetTrack(&m.prefill)
	if transfer || m.decode.step >= stepDispatched {
		m.resetTrack(&m.decode)
	}
	for _, t := range m.tracks() {
		t.resetRounds()
	}
	m.advance()
}

// resumeStream requests the stream again from the first missing chunk.
func (m *Machine) resumeStream(reason string) {
	t := &m.decode
	m.stream.resumes++
	if m.stream.resumes > m.limits.MaxResumes {
		m.attemptFailed(t, reason, false)

		return
	}
	t.expiry = m.now.Add(m.limits.ChunkTimeout)
	m.open[t.current.id] = t.current
	m.addAction(Decode{
		ID: t.current.id, Server: t.current.server, Offset: m.stream.next,
		Limit: m.req.Limit, Resume: true,
	})
}
