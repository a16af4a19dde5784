package simulator

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"text/tabwriter"
	"time"
)

const (
	warmUp         = 25 * time.Second // longer than the longest answer
	runLength      = 85 * time.Second
	prefillEngines = 3
	decodeEngines  = 6
	// contentionThreshold is the fraction of good answers of a rank below which its
	// callers compete, so that the share of each caller matters.
	contentionThreshold = 0.9
	longPrompt          = 8192 // tokens; 6% of the prompts are at least as long
)

// engineTime returns the least engine time, in seconds, that a request needs.
func (r *request) engineTime() (prefill, decode float64) {
	if r.plain() {
		return 0, 0
	}
	common := 0
	for _, h := range r.prefix {
		if h>>63 == 0 && h>>32 != 0 {
			common++ // the best policy finds the block in a prefix cache
		}
	}
	prefill = prefillOverhead.Seconds() + float64(r.promptTokens-common*blockTokens)/prefillRate
	// An iteration of a full engine takes tokenGapBase, and tokenGapPerStream for
	// each stream. tokenGapBase is divided among the streams by the memory that
	// they hold.
	perToken := tokenGapPerStream.Seconds() + tokenGapBase.Seconds()*float64(r.blocks())/engineBlocks

	return prefill, perToken * float64(r.outputTokens)
}

// fleetCapacity is the capacity of all engines together.
type fleetCapacity struct {
	requests        float64 // model requests per second
	prefill, decode float64 // mean engine seconds of a request
}

// capacity returns the capacity for requests with the mean engine time of a sample.
var capacity = sync.OnceValue(func() fleetCapacity {
	const samples = 200_000
	var l fleetCapacity
	sim := &simulation{rand: rand.New(rand.NewPCG(1, 1))}
	for range samples {
		r := &request{service: "summary"}
		r.drawSizes(sim)
		p, d := r.engineTime()
		l.prefill += p / samples
		l.decode += d / samples
	}
	l.requests = min(prefillEngines/l.prefill, decodeEngines/l.decode)

	return l
})

// row is one line of the table. A good answer is one that met its targets.
// Fractions are of the requests that arrived in the window. goodput counts the good
// answers that completed in it. The fraction of the booking service is of plain
// calls; the other quality figures are of model requests only, as plain calls cost
// little and would hide what happens to the engines.
type row struct {
	goodput, bound, cheapestBound float64 // answers per second; bound is the lesser of load and capacity
	usefulWork                    float64 // decode time of good answers, as a fraction of the lesser of demand and available time
	rank                          [3]float64
	service                       [2]float64
	region                        [3]float64
	answers                       [3]float64 // good answers per second by rank
	longPrompts                   float64    // fraction of good answers to long prompts
	floorsKept                    float64    // lowest rate of good answers of a rank that does not flood, as a fraction of what it is due
	wasted, refused               float64
	crossRegionTraffic            float64 // billed traffic in MB/s
	messages                      float64 // per request
	topShare                      float64 // largest fraction of the answers of a rank that one caller got
	failures, counts              map[string]int
}

// ratio is the fraction of good answers.
type ratio struct{ good, all float64 }

func (r *ratio) add(good bool) {
	r.all++
	if good {
		r.good++
	}
}

func (r ratio) value() float64 {
	if r.all == 0 {
		return 1
	}

	return r.good / r.all
}

// measure computes the row of one simulation. The window starts after warmUp.
func measure(sim *simulation, sc scenario, length time.Duration) row {
	from, to := startTime.Add(warmUp), startTime.Add(length)
	window := to.Sub(from).Seconds()
	var rank, region [3]ratio
	var summary, booking, refused, longPrompts ratio
	var offered [3]float64
	callers := [3]map[string]float64{{}, {}, {}}
	var prefillTime, wasted time.Duration
	var prefills, decodes []float64
	var usefulWork float64
	out := row{failures: map[string]int{}, counts: sim.counts}
	for _, r := range sim.requests {
		prefillTime += r.prefillTime
		wasted += r.wasted()
		if r.plain() {
			if !r.arrived.Before(from) {
				booking.add(r.meetsTargets())
			}

			continue
		}
		if r.meetsTargets() && !r.lastToken.Before(from) && r.lastToken.Before(to) {
			out.goodput += 1 / window
			_, d := r.engineTime()
			usefulWork += d
			out.answers[r.rank] += 1 / window
		}
		if r.succeeded && !r.lastToken.Before(from) && r.lastToken.Before(to) {
			callers[r.rank][r.caller]++
		}
		if r.arrived.Before(from) {
			continue
		}
		offered[r.rank] += 1 / window
		p, d := r.engineTime()
		prefills = append(prefills, p)
		decodes = append(decodes, d)
		rank[r.rank].add(r.meetsTargets())
		region[r.region].add(r.meetsTargets())
		summary.add(r.meetsTargets())
		if r.promptTokens >= longPrompt {
			longPrompts.add(r.meetsTargets())
		}
		refused.add(r.refused && !r.succeeded)
		if !r.meetsTargets() {
			reason := r.failure
			if r.succeeded {
				reason = "late"
			}
			out.failures[fmt.Sprint("r", r.rank, " ", reason)]++
		}
	}
	scale := 1.0
	if sc.f.kill { // one of the decode engines is dead after a third of the run
		scale -= (length - max(length/3, warmUp)).Seconds() / window / decodeEngines
	}
	all := offered[0] + offered[1] + offered[2]
	full := capacity().requests * scale
	out.bound = min(all, full)
	out.cheapestBound = min(countCheapest(prefills, prefillEngines*window), countCheapest(decodes, decodeEngines*window*scale)) / window
	demand := 0.0
	for _, d := range decodes {
		demand += d
	}
	out.usefulWork = usefulWork / min(demand, decodeEngines*window*scale)
	for i := range rank {
		out.rank[i], out.region[i] = rank[i].value(), region[i].value()
		if rank[i].value() > contentionThreshold {
			continue // no caller of the rank had to wait for long
		}
		sum := 0.0
		for _, n := range callers[i] {
			sum += n
		}
		for _, n := range callers[i] {
			out.topShare = max(out.topShare, n/sum)
		}
	}
	out.service = [2]float64{summary.value(), booking.value()}
	out.floorsKept = 1
	above, floors := 0.0, 0.2
	for i, r := range rankSettings {
		// A rank and the more urgent ones may use all capacity except the floors of the
		// less urgent ranks.
		floor := float64(r.floor) / 100
		floors -= floor
		due := min(offered[i], max(floor*full, (1-floors)*full-above))
		above += offered[i]
		if sc.rates[i] < 2 {
			out.floorsKept = min(out.floorsKept, out.answers[i]/due)
		}
	}
	out.refused, out.longPrompts = refused.value(), longPrompts.value()
	out.wasted = wasted.Seconds() / max(prefillTime.Seconds(), 1e-9)
	out.crossRegionTraffic = sim.crossRegionTraffic / 1e6 / length.Seconds()
	out.messages = float64(sim.messages) / float64(len(sim.requests))

	return out
}

// countCheapest counts the requests that fit into a budget of engine time if the
// cheapest ones are chosen. No policy can serve more, but this choice never serves
// long prompts.
func countCheapest(costs []float64, budget float64) float64 {
	slices.Sort(costs)
	n := 0.0
	for _, c := range costs {
		if budget -= c; budget < 0 {
			break
		}
		n++
	}

	return n
}

// variants returns the variants to compare. "previous" has no headroom. Changes
// before that one are part of all variants but the baseline; the commits that made
// them have their rows.
func variants() []variant {
	return []variant{{name: "baseline", baseline: true}, {name: "previous"}, {name: "this", headroom: true}}
}

// meanRow returns the mean of the rows of a scenario with different seeds. Counts
// are added up.
func meanRow(rows []row) row {
	out := row{failures: map[string]int{}, counts: map[string]int{}}
	for _, r := range rows {
		n := float64(len(rows))
		for i, v := range r.values() {
			*out.values()[i] += *v / n
		}
		for k, c := range r.failures {
			out.failures[k] += c
		}
		for k, c := range r.counts {
			out.counts[k] += c
		}
	}

	return out
}

// values returns pointers to all figures of the row except the counts.
func (r *row) values() []*float64 {
	v := []*float64{&r.goodput, &r.bound, &r.cheapestBound, &r.usefulWork, &r.floorsKept, &r.wasted, &r.refused, &r.crossRegionTraffic, &r.messages, &r.topShare, &r.longPrompts}
	for i := range 3 {
		v = append(v, &r.rank[i], &r.region[i], &r.answers[i])
	}

	return append(v, &r.service[0], &r.service[1])
}

// seeds are the seeds that the table averages over.
var seeds = []uint64{1, 2, 3}

// simulateAll runs every scenario with every variant and seed, a few simulations at
// a time. A simulation starts no goroutines, so its result depends only on its
// arguments.
func simulateAll(list []scenario, variants []variant, seeds []uint64, length time.Duration) [][]row {
	const workers = 4
	rows := make([][][]row, len(list))
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, workers)
	for i, sc := range list {
		rows[i] = make([][]row, len(variants))
		for j, v := range variants {
			rows[i][j] = make([]row, len(seeds))
			for k, seed := range seeds {
				semaphore <- struct{}{}
				wg.Go(func() {
					defer func() { <-semaphore }()
					rows[i][j][k] = measure(simulate(v, sc, seed, length), sc, length)
				})
			}
		}
	}
	wg.Wait()
	out := make([][]row, len(list))
	for i := range list {
		for _, r := range rows[i] {
			out[i] = append(out[i], meanRow(r))
		}
	}

	return out
}

// BenchmarkPolicy prints the table of docs/POLICY.md. POLICY_ONLY limits it to the
// current variant, POLICY_FAILURES prints counts of failures as well.
func BenchmarkPolicy(b *testing.B) {
	for b.Loop() {
		list, variants := scenarios(), variants()
		if os.Getenv("POLICY_ONLY") != "" {
			variants = variants[len(variants)-1:]
		}
		rows := simulateAll(list, variants, seeds, runLength)
		tw := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', tabwriter.AlignRight)
		fmt.Fprint(tw, "load\tversion\tgoodput\tbound\t%\twork%\tbest\tr0\tr1\tr2\tsummary\tbooking\tregion0\tregion1\tregion2\t"+
			"long\twasted%\trefused%\tkept\tshare\tpaid MB/s\tmessages\tr0/s\tr1/s\tr2/s\t\n")
		for i, sc := range list {
			for j, v := range variants {
				r := rows[i][j]
				fmt.Fprintf(tw, "%s\t%s\t%.2f\t%.2f\t%.0f\t%.0f\t%.2f\t", sc.name, v.name,
					r.goodput, r.bound, 100*r.goodput/r.bound, 100*r.usefulWork, r.cheapestBound)
				for _, f := range slices.Concat(r.rank[:], r.service[:], r.region[:]) {
					fmt.Fprintf(tw, "%.1f\t", 100*f)
				}
				fmt.Fprintf(tw, "%.1f\t%.2f\t%.1f\t%.2f\t%.2f\t%.1f\t%.1f\t%.2f\t%.2f\t%.2f\t\n",
					100*r.longPrompts, 100*r.wasted, 100*r.refused, r.floorsKept, r.topShare, r.crossRegionTraffic, r.messages, r.answers[0], r.answers[1], r.answers[2])
				if os.Getenv("POLICY_FAILURES") != "" {
					fmt.Fprintln(os.Stderr, sc.name, v.name, r.failures, r.counts)
				}
			}
		}
		tw.Flush()
	}
}
