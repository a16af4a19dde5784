package attendant

import (
	"bufio"
	"bytes"
	"context"
	"os"
	"strings"
	"time"
)

// hostsInterval is the time between two readings of the host list.
const hostsInterval = time.Second

// followHosts leaves when the host list says that this host is leaving. The list
// may be late and unreadable for a while; a host that is not listed stays.
func (a *Attendant) followHosts(ctx context.Context) {
	for {
		data, err := os.ReadFile(a.settings.Hosts)
		if err != nil {
			a.deps.Log.Warn().Err(err).Str("file", a.settings.Hosts).Msg("hosts")
		} else if isLeaving(data, a.settings.Host) {
			a.Leave("the host list says that " + a.settings.Host + " is leaving")

			return
		}
		if !sleep(ctx, hostsInterval) {
			return
		}
	}
}

// isLeaving looks a host up in a host list: one line a host with its name or
// address, spaces, and live or leaving; # begins a comment.
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
