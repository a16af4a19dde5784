package agent

import (
	"bufio"
	"bytes"
	"context"
	"os"
	"strings"
	"time"
)

// hostListInterval is the interval at which the host list is read.
const hostListInterval = time.Second

// watchHostList shuts the agent down when the host list marks this host as leaving. The
// list may be out of date or temporarily unreadable, so an unreadable list or a missing
// host has no effect.
func (a *Agent) watchHostList(ctx context.Context) {
	for {
		data, err := os.ReadFile(a.settings.Hosts)
		if err != nil {
			a.deps.Log.Warn().Err(err).Str("file", a.settings.Hosts).Msg("hosts")
		} else if isLeaving(data, a.settings.HostName) {
			a.BeginDrain("the host list says that " + a.settings.HostName + " is leaving")

			return
		}
		if !sleep(ctx, hostListInterval) {
			return
		}
	}
}

// isLeaving reports whether list marks the host as leaving. Each line of a host list
// contains the name or address of a host, followed by spaces and live or leaving. #
// starts a comment.
func isLeaving(list []byte, host string) bool {
	for lines := bufio.NewScanner(bytes.NewReader(list)); lines.Scan(); {
		text, _, _ := strings.Cut(lines.Text(), "#")
		fields := strings.Fields(text)
		if len(fields) > 1 && fields[0] == host && fields[1] == "leaving" {
			return true
		}
	}

	return false
}
