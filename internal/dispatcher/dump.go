package dispatcher

// phaseSettle is the time after the final answer of a claimed call whose end
// isn't known yet.
const phaseSettle = "settle"

// Status describes a request for a state dump.
type Status struct {
	Phase  string // claim, reserve, queue, prefill, transfer, decode, ask, run, settle, over
	Server string // where the work is or waits, may be empty
	Waits  string // what the request waits for
	Chunks int64  // emitted
	Open   int    // attempts not yet withdrawn
}

// Status returns the present state.
func (m *Machine) Status() Status {
	s := Status{Phase: m.phase(), Waits: m.waitsFor(), Chunks: m.stream.emitted(), Open: len(m.open)}
	for _, t := range m.tracks() {
		if t.step != stepOver && t.server() != "" {
			s.Server = t.server()
		}
	}

	return s
}

func (m *Machine) phase() string {
	switch {
	case m.over && m.claim.waiting:
		return phaseSettle
	case m.over:
		return "over"
	case m.claim.waiting:
		return "claim"
	case m.plain() && m.run.step <= stepAsked:
		return "ask"
	case m.plain():
		return "run"
	case m.decode.step == stepReady:
		return "decode"
	case m.decode.step == stepSent:
		return "transfer"
	case m.prefill.step == stepSent:
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
