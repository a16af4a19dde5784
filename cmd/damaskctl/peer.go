package main

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/wire"
)

// voterPollInterval is the interval of checks whether an added host is a voter. Once it has
// received the log, it becomes one within a few round trips.
const voterPollInterval = 100 * time.Millisecond

// changePeers adds, replaces or removes a control host. Members of the log have random
// identities; operators refer to them by the number in their settings.
func (s *session) changePeers(p *wire.Peering) error {
	if s.dryRun || s.expect >= 0 {
		return usageErrorf("--dry-run and --expect are not for changes of the control hosts")
	}
	old := ""
	if p.GetVerb() != "add" && (p.GetVerb() == "replace" || p.GetAddr() == "") {
		var err error
		if old, err = s.peerAddr(p.GetId()); err != nil {
			return err
		}
	}
	switch p.GetVerb() {
	case "add":
		return s.proposePeering("add", p.GetAddr())
	case "replace":
		if s.id != "" {
			return usageErrorf("--id is for one command, replace sends two; use add peer and remove peer")
		}
		if old == p.GetAddr() {
			return usageErrorf("control host %d is at %s already", p.GetId(), old)
		}
		if err := s.proposePeering("add", p.GetAddr()); err != nil {
			return err
		}
		if err := s.waitForVoter(p.GetAddr()); err != nil {
			return err
		}

		return s.proposePeering("remove", old)
	default:
		if p.GetAddr() != "" {
			old = p.GetAddr()
		}

		return s.proposePeering("remove", old)
	}
}

func (s *session) proposePeering(verb, addr string) error {
	return s.propose(&wire.Command{
		Expect: -1, Body: &wire.Command_Peering{Peering: &wire.Peering{Verb: verb, Addr: addr}},
	})
}

// waitForVoter waits until an added host is a voter. If the old host were removed before that,
// the log would have one voter fewer, and the loss of another one could leave no majority.
func (s *session) waitForVoter(addr string) error {
	ticks := make(chan struct{}, 1)
	defer s.clock.Every(voterPollInterval, func(time.Time) {
		select {
		case ticks <- struct{}{}:
		default:
		}
	})()
	for {
		t, err := s.all("peers")
		if err != nil {
			_, _ = fmt.Fprintf(s.err, "damaskctl: cannot see whether the new host votes: %v\n", err)
		} else if isVoter(t, addr) {
			return nil
		}
		select {
		case <-ticks:
		case <-s.ctx.Done():
			return &exitError{exitPending, errors.Newf(
				"the host at %s is added and does not vote yet; nothing is removed: send remove peer once show peers lists it as voter", addr)}
		}
	}
}

// isVoter reports whether the control host at addr is a voter in the table of control hosts.
func isVoter(t *wire.Table, addr string) bool {
	at, role := slices.Index(t.GetColumns(), "addr"), slices.Index(t.GetColumns(), "role")

	return slices.ContainsFunc(t.GetRows(), func(r *wire.Row) bool {
		return cell(r, at) == addr && (cell(r, role) == "voter" || cell(r, role) == "leader")
	})
}

func (s *session) peerAddr(number uint64) (string, error) {
	t, err := s.all("peers")
	if err != nil {
		return "", err
	}
	at, addr := slices.Index(t.GetColumns(), "number"), slices.Index(t.GetColumns(), "addr")
	for _, r := range t.GetRows() {
		if cell(r, at) == strconv.FormatUint(number, 10) {
			return cell(r, addr), nil
		}
	}

	return "", &exitError{exitRefused, usageErrorf("there is no control host with number %d, see damaskctl show peers", number)}
}
