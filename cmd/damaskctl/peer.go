package main

import (
	"slices"
	"strconv"

	"github.com/damasklever/damasklever/internal/wire"
)

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
