package evaluator

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
	warmUp    = 25 * time.Second // longer than the longest answer
	longRun   = 85 * time.Second
	modelPool = 3 // prefill engines
	decoders  = 6
	// crowdedBelow is the part of a rank's requests with a good answer below
	// which its callers compete, so that shares count.
	crowdedBelow = 0.9
	longPrompt   = 8192 // tokens; the longest 6% of the prompts
)

// costs are the engine seconds that a request needs at least.
func (r *request) costs() (prefill, decode float64) {
	if r.plain() {
		return 0, 0
	}
	common := 0
	for _, h := range r.prefix {
		if h>>63 == 0 && h>>32 != 0 {
			common++ // cached by the best policy
		}
	}
	prefill = prefillFixed.Seconds() + float64(r.tokens-common*pieceTokens)/prefillRate
	// An iteration of a full engine takes gapBase and gapEach for each stream;
	// the streams share gapBase by the memory that they take.
	each := gapEach.Seconds() + gapBase.Seconds()*float64(r.pieces())/enginePieces

	return prefill, each * float64(r.output)
}

// limits is what the engines can do.
type limits struct {
	requests        float64 // model requests a second
	prefill, decode float64 // mean engine seconds of a request
}

var capacity = sync.OnceValue(func() limits {
	const samples = 200_000
	var l limits
	w := &world{rand: rand.New(rand.NewPCG(1, 1))}
	for range samples {
		r := &request{service: "summary"}
		r.sizePrompt(w)
		p, d := r.costs()
		l.prefill += p / samples
		l.decode += d / samples
	}
	l.requests = min(modelPool/l.prefill, decoders/l.decode)

	return l
})

// row is one line of the table. Fractions are of the requests that arrived in
// the window; goodput counts the good answers completed in it. Everything but
// the fraction of the booking service is of the model service: plain calls cost
// little and would hide what happens to the engines.
type row struct {
	goodput, bound, best float64 // answers a second
	work                 float64 // engine time of good answers, as part of what the engines can give
	rank                 [3]float64
	service              [2]float64
	region               [3]float64
	answers              [3]float64 // good answers a second by rank
	long                 float64    // as rank, of the long prompts
	kept                 float64    // least good answers of a rank that isn't flooding, as part of what it is due
	wasted, refused      float64
	paid                 float64 // MB/s
	messages             float64 // a request
	share                float64 // largest part of a rank's answers that one caller got
	failures, counts     map[string]int
}

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

func measure(w *world, sc scenario, length time.Duration) row {
	from, to := start.Add(warmUp), start.Add(length)
	window := to.Sub(from).Seconds()
	var rank, region [3]ratio
	var summary, booking, refused, long ratio
	var offered [3]float64
	callers := [3]map[string]float64{{}, {}, {}}
	var spent, wasted time.Duration
	var prefills, decodes []float64
	var work float64
	out := row{failures: map[string]int{}, counts: w.counts}
	for _, r := range w.requests {
		spent += r.spent
		wasted += r.wasted()
		if r.plain() {
			if !r.arrived.Before(from) {
				booking.add(r.good())
			}

			continue
		}
		if r.good() && !r.last.Before(from) && r.last.Before(to) {
			out.goodput += 1 / window
			_, d := r.costs()
			work += d
			out.answers[r.rank] += 1 / window
		}
		if r.done && !r.last.Before(from) && r.last.Before(to) {
			callers[r.rank][r.caller]++
		}
		if r.arrived.Before(from) {
			continue
		}
		offered[r.rank] += 1 / window
		p, d := r.costs()
		prefills = append(prefills, p)
		decodes = append(decodes, d)
		rank[r.rank].add(r.good())
		region[r.region].add(r.good())
		summary.add(r.good())
		if r.tokens >= longPrompt {
			long.add(r.good())
		}
		refused.add(r.refused && !r.done)
		if !r.good() {
			reason := r.failure
			if r.done {
				reason = "late"
			}
			out.failures[fmt.Sprint("r", r.rank, " ", reason)]++
		}
	}
	scale := 1.0
	if sc.f.kill { // one of the decode engines is gone after a third of the run
		scale -= (length - max(length/3, warmUp)).Seconds() / window / decoders
	}
	all := offered[0] + offered[1] + offered[2]
	full := capacity().requests * scale
	out.bound = min(all, full)
	out.best = min(fill(prefills, modelPool*window), fill(decodes, decoders*window*scale)) / window
	demand := 0.0
	for _, d := range decodes {
		demand += d
	}
	out.work = work / min(demand, decoders*window*scale)
	for i := range rank {
		out.rank[i], out.region[i] = rank[i].value(), region[i].value()
		if rank[i].value() > crowdedBelow {
			continue // nobody of the rank had to wait for long
		}
		sum := 0.0
		for _, n := range callers[i] {
			sum += n
		}
		for _, n := range callers[i] {
			out.share = max(out.share, n/sum)
		}
	}
	out.service = [2]float64{summary.value(), booking.value()}
	out.kept = 1
	above, floors := 0.0, 0.2
	for i, r := range rankSettings {
		// More urgent work may take all but the floors.
		floor := float64(r.floor) / 100
		floors -= floor
		due := min(offered[i], max(floor*full, (1-floors)*full-above))
		above += offered[i]
		if sc.rates[i] < 2 {
			out.kept = min(out.kept, out.answers[i]/due)
		}
	}
	out.refused, out.long = refused.value(), long.value()
	out.wasted = wasted.Seconds() / max(spent.Seconds(), 1e-9)
	out.paid = w.paid / 1e6 / length.Seconds()
	out.messages = float64(w.messages) / float64(len(w.requests))

	return out
}

// fill counts the requests that fit into an amount of engine time when the
// cheapest are chosen. No policy does better, but it never serves long prompts.
func fill(costs []float64, room float64) float64 {
	slices.Sort(costs)
	n := 0.0
	for _, c := range costs {
		if room -= c; room < 0 {
			break
		}
		n++
	}

	return n
}

// versions to compare. The previous one has the settings before the headroom;
// earlier changes are in the code, their rows are in the commits.
func versions() []version {
	return []version{{name: "baseline", fifo: true}, {name: "previous"}, {name: "this", headroom: true}}
}

// mean is the average of rows of the same scenario with different seeds.
func mean(rows []row) row {
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

func (r *row) values() []*float64 {
	v := []*float64{&r.goodput, &r.bound, &r.best, &r.work, &r.kept, &r.wasted, &r.refused, &r.paid, &r.messages, &r.share, &r.long}
	for i := range 3 {
		v = append(v, &r.rank[i], &r.region[i], &r.answers[i])
	}

	return append(v, &r.service[0], &r.service[1])
}

// seeds of the table.
var seeds = []uint64{1, 2, 3}

// evaluate runs scenarios, each with every seed, a few at a time. A simulation
// itself has no goroutines and depends on nothing but its seed.
func evaluate(list []scenario, versions []version, seeds []uint64, length time.Duration) [][]row {
	const workers = 4
	rows := make([][][]row, len(list))
	var wg sync.WaitGroup
	slot := make(chan struct{}, workers)
	for i, sc := range list {
		rows[i] = make([][]row, len(versions))
		for j, v := range versions {
			rows[i][j] = make([]row, len(seeds))
			for k, seed := range seeds {
				slot <- struct{}{}
				wg.Go(func() {
					defer func() { <-slot }()
					rows[i][j][k] = measure(simulate(v, sc, seed, length), sc, length)
				})
			}
		}
	}
	wg.Wait()
	out := make([][]row, len(list))
	for i := range list {
		for _, r := range rows[i] {
			out[i] = append(out[i], mean(r))
		}
	}

	return out
}

// BenchmarkPolicy prints the table of docs/POLICY.md.
func BenchmarkPolicy(b *testing.B) {
	for b.Loop() {
		list, versions := scenarios(), versions()
		if os.Getenv("POLICY_ONLY") != "" {
			versions = versions[len(versions)-1:]
		}
		rows := evaluate(list, versions, seeds, longRun)
		tw := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', tabwriter.AlignRight)
		fmt.Fprint(tw, "load\tversion\tgoodput\tbound\t%\twork%\tbest\tr0\tr1\tr2\tsummary\tbooking\tregion0\tregion1\tregion2\t"+
			"long\twasted%\trefused%\tkept\tshare\tpaid MB/s\tmessages\tr0/s\tr1/s\tr2/s\t\n")
		for i, sc := range list {
			for j, v := range versions {
				r := rows[i][j]
				fmt.Fprintf(tw, "%s\t%s\t%.2f\t%.2f\t%.0f\t%.0f\t%.2f\t", sc.name, v.name,
					r.goodput, r.bound, 100*r.goodput/r.bound, 100*r.work, r.best)
				for _, f := range slices.Concat(r.rank[:], r.service[:], r.region[:]) {
					fmt.Fprintf(tw, "%.1f\t", 100*f)
				}
				fmt.Fprintf(tw, "%.1f\t%.2f\t%.1f\t%.2f\t%.2f\t%.1f\t%.1f\t%.2f\t%.2f\t%.2f\t\n",
					100*r.long, 100*r.wasted, 100*r.refused, r.kept, r.share, r.paid, r.messages, r.answers[0], r.answers[1], r.answers[2])
				if os.Getenv("POLICY_FAILURES") != "" {
					fmt.Fprintln(os.Stderr, sc.name, v.name, r.failures, r.counts)
				}
			}
		}
		tw.Flush()
	}
}
