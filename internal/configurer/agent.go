package configurer

import (
	"net/netip"
	"time"
)

// maxPieces is the upper limit of the pieces and slots settings.
const maxPieces = 1 << 20

// Agent holds the settings of an agent process.
type Agent struct {
	Process
	Listen    string // ip:port for entries
	Advertise string // ip:port that entries dial
	Backend   string // ip:port of the backend server
	Service   string
	Phase     string        // prefill, decode or plain
	Pieces    int64         // memory pieces, or concurrent calls of a plain service
	Slots     int64         // prefills granted at the same time
	Hosts     string        // file with the platform's host list, or empty
	Drain     time.Duration // longest wait for work in flight at a shutdown
}

// AgentOptions returns the options of the agent role.
func AgentOptions() []Option {
	return append(commonOptions("127.0.0.1:9090"),
		Option{"listen", "127.0.0.1:7080", "ip:port for entries"},
		Option{"advertise", "", "ip:port that entries dial; the listen address if empty"},
		Option{"backend", "", "ip:port of the backend server beside this agent"},
		Option{"service", "", "name of the service that the backend server belongs to"},
		Option{"phase", "", "work of the backend server: prefill, decode or plain"},
		Option{"pieces", "", "memory of the engine in pieces of 2048 tokens, or calls that a plain service runs at once"},
		Option{"slots", "2", "prefills that a prefill server is granted at a time; 2 keeps it busy, more lets urgent work wait"},
		Option{"hosts", "", "file with the platform's list of hosts, for the agent to learn that its host leaves"},
		Option{"drain", "5m", "longest wait for work in flight at a shutdown; it is ended up to 1 s before its end"},
	)
}

// ReadAgent reads the settings of an agent. It returns all invalid settings.
func ReadAgent(source Source) (Agent, InvalidSettings) {
	r := &settingsReader{source: source}
	a := Agent{
		Process: r.process(true),
		Listen:  r.address("listen"),
		Backend: r.address("backend"),
		Service: r.requiredName("service"),
		Phase:   r.choice("phase", "prefill", "decode", "plain"),
		Pieces:  r.positiveInt("pieces", maxPieces),
		Slots:   r.positiveInt("slots", maxPieces),
		Hosts:   r.text("hosts"),
		Drain:   r.duration("drain", 0, maxDrain),
	}
	a.Advertise = r.advertise(a.Listen)

	return a, r.invalid
}

// advertise reads the address that others dial. The default is the listen address, unless
// that is the unspecified address, which other hosts cannot dial.
func (r *settingsReader) advertise(listen string) string {
	addr := r.text("advertise")
	if addr != "" {
		r.checkAddress("advertise", addr)

		return addr
	}
	if at, err := netip.ParseAddrPort(listen); err == nil && at.Addr().IsUnspecified() {
		r.addInvalid("advertise", "is required, because --listen names no single address")
	}

	return listen
}
