package configurer

import (
	"net/netip"
	"time"
)

const maxPieces = 1 << 20

// Agent holds the settings of an agent process.
type Agent struct {
	Process
	Listen    string // ip:port for entries
	Advertise string // ip:port that entries dial
	Backend   string // ip:port of the backend server
	Service   string
	Phase     string        // prefill, decode or plain
	Pieces    int64         // memory pieces, or call slots of a plain service
	Slots     int64         // prefills granted at a time
	Hosts     string        // file with the platform's host list, or empty
	Drain     time.Duration // waits this long for work in flight
}

// AgentOptions returns the options of the agent role.
func AgentOptions() []Option {
	return append(common("127.0.0.1:9090"),
		Option{"listen", "127.0.0.1:7080", "ip:port for entries"},
		Option{"advertise", "", "ip:port that entries dial; the listen address if empty"},
		Option{"backend", "", "ip:port of the backend server beside this agent"},
		Option{"service", "", "name of the service that the backend server belongs to"},
		Option{"phase", "", "work of the backend server: prefill, decode or plain"},
		Option{"pieces", "", "memory of the engine in pieces of 2048 tokens, or calls that a plain service runs at once"},
		Option{"slots", "2", "prefills that a prefill server is granted at a time; 2 keeps it busy, more lets urgent work wait"},
		Option{"hosts", "", "file with the platform's list of hosts, for the agent to learn that its host leaves"},
		Option{"drain", "5m", "longest wait for work in flight at a shutdown"},
	)
}

// ReadAgent reads the settings of an agent and returns every fault.
func ReadAgent(source Source) (Agent, Faults) {
	r := &reader{source: source}
	a := Agent{
		Process: r.process(true),
		Listen:  r.address("listen"),
		Backend: r.address("backend"),
		Service: r.word("service"),
		Phase:   r.choice("phase", "prefill", "decode", "plain"),
		Pieces:  r.positive("pieces", maxPieces),
		Slots:   r.positive("slots", maxPieces),
		Hosts:   r.text("hosts"),
		Drain:   r.duration("drain", 0, maxDrain),
	}
	a.Advertise = r.advertise(a.Listen)

	return a, r.faults
}

// advertise reads the address that others dial. Listening on all addresses
// gives nothing that another host could dial.
func (r *reader) advertise(listen string) string {
	addr := r.text("advertise")
	if addr != "" {
		r.checkAddress("advertise", addr)

		return addr
	}
	if at, err := netip.ParseAddrPort(listen); err == nil && at.Addr().IsUnspecified() {
		r.fail("advertise", "is required, because --listen names no single address")
	}

	return listen
}
