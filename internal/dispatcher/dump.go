package dispatcher

// phaseSettle is the phase after the final answer of a claimed call, until it is
// known whether the call ran.
const phaseSettle = "settle"

// Status is the state of a request as shown in a state dump.
type Status struct {
	Phase  string // claim, reserve, queue, prefill, transfer, decode, ask, run, settle, over
	Server string // server that runs the work or has queued it, may be empty
	Waits  string // what the request waits for
	Chunks int64  // chunks sent to the caller
	Open   int    // attempts that have not ended
}

// Status returns the current state.
func (m *Machine) Status() Status {
	s := Status{Phase: m.phase(), Waits: m.waitsFor(), Chunks: m.stream.emitted(), Open: len(m.open)}
	for _, t := range m.tracks() {
		if t.step != stepDone && t.server() != "" {
			s.Server = t.server()
		}
	}

	return s
}

func (m *Machine) phase() string {
	switch {
	case m.finished && m.claim.waiting:
		return phaseSettle
	case m.finished:
		return "over"
	case m.claim.waiting:
		return "claim"
	case m.isPlain() && m.run.step <= stepAsked:
		return "ask"
	case m.isPlain():
		return "run"
	case m.decode.step == stepReady:
		return "decode"
	case m.decode.step == stepDispatched:
		return "transfer"
	case m.prefill.step == stepDispatched:
		return "prefill"
	case m.decode.step <= stepAsked:
		return "reserve"
	default:
		return "queue"
	}
}

func (m *Machine) waitsFor() string {
	switch m.phase() {
	case "over":
		return "nothing"
	case phaseSettle:
		return "the end of the claimed call"
	case "claim":
		return "the replicated log"
	case "ask":
		return "a call slot"
	case "run":
		return "the answer"
	case "decode":
		return "the next chunk"
	case "transfer":
		return "the transfer"
	case "prefill":
		return "the prefill"
	case "reserve":
		return "decode memory"
	default:
		return "prefill memory"
	}
}
