package main

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/wire"
)

// voterLook is the time between two looks at an added host; it votes within a few
// round trips once it has the log.
const voterLook = 100 * time.Millisecond

// peer changes the members of the control log. Members have drawn identities; the
// operator names them by the number in their settings.
func (d *dialog) peer(p *wire.Peering) error {
	if d.dry || d.expect >= 0 {
		return usage("--dry-run and --expect are not for changes of the control hosts")
	}
	old := ""
	if p.GetVerb() != "add" && (p.GetVerb() == "replace" || p.GetAddr() == "") {
		var err error
		if old, err = d.peerAddr(p.GetId()); err != nil {
			return err
		}
	}
	switch p.GetVerb() {
	case "add":
		return d.peering("add", p.GetAddr())
	case "replace":
		if d.id != "" {
			return usage("--id is for one command, replace sends two; use add peer and remove peer")
		}
		if old == p.GetAddr() {
			return usage("control host %d is at %s already", p.GetId(), old)
		}
		if err := d.peering("add", p.GetAddr()); err != nil {
			return err
		}
		if err := d.awaitVoter(p.GetAddr()); err != nil {
			return err
		}

		return d.peering("remove", old)
	default:
		if p.GetAddr() != "" {
			old = p.GetAddr()
		}

		return d.peering("remove", old)
	}
}

func (d *dialog) peering(verb, addr string) error {
	return d.propose(&wire.Command{
		Expect: -1, Body: &wire.Command_Peering{Peering: &wire.Peering{Verb: verb, Addr: addr}},
	})
}

// awaitVoter waits until an added host votes. A host removed before that would leave
// the log with one voter fewer, and the loss of another one with no majority.
func (d *dialog) awaitVoter(addr string) error {
	look := make(chan struct{}, 1)
	defer d.clock.Every(voterLook, func(time.Time) {
		select {
		case look <- struct{}{}:
		default:
		}
	})()
	for {
		t, err := d.all("peers")
		if err != nil {
			_, _ = fmt.Fprintf(d.err, "damaskctl: cannot see whether the new host votes: %v\n", err)
		} else if votes(t, addr) {
			return nil
		}
		select {
		case <-look:
		case <-d.ctx.Done():
			return &exitError{exitPending, errors.Newf(
				"the host at %s is added and does not vote yet; nothing is removed: send remove peer once show peers lists it as voter", addr)}
		}
	}
}

// votes tells whether a table of the control hosts shows the one at addr as a voter.
func votes(t *wire.Table, addr string) bool {
	at, role := slices.Index(t.GetColumns(), "addr"), slices.Index(t.GetColumns(), "role")

	return slices.ContainsFunc(t.GetRows(), func(r *wire.Row) bool {
		return cell(r, at) == addr && (cell(r, role) == "voter" || cell(r, role) == "leader")
	})
}

func (d *dialog) peerAddr(number uint64) (string, error) {
	t, err := d.all("peers")
	if err != nil {
		return "", err
	}
	at, addr := slices.Index(t.GetColumns(), "number"), slices.Index(t.GetColumns(), "addr")
	for _, r := range t.GetRows() {
		if cell(r, at) == strconv.FormatUint(number, 10) {
			return cell(r, addr), nil
		}
	}

	return "", &exitError{exitRefused, usage("there is no control host with number %d, see damaskctl show peers", number)}
}
