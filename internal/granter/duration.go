package granter

// durationHistogram is the distribution of the actual duration of work relative to
// its expected cost. It is learned from recently finished work, because answers
// rarely use all tokens that their callers allow.
type durationHistogram struct {
	bins        [binCount]float64
	initialized bool
}

const (
	binCount = 24
	binWidth = 0.1 // of the expected cost
	// binDecay is the factor by which the weight of earlier samples decreases with
	// each new one: about the last 200 samples count.
	binDecay = 0.995
	// minRemaining is the remaining time, as a fraction of the expected cost, of work
	// that lasts longer than any sample.
	minRemaining = 0.1
)

// init starts with a low weight, distributed evenly over durations from 0.5 to 1.5
// times the cost.
func (d *durationHistogram) init() {
	for i := 5; i < 15; i++ {
		d.bins[i] = 0.4
	}
	d.initialized = true
}

// add records the actual duration of finished work divided by its expected cost.
func (d *durationHistogram) add(ratio float64) {
	if !d.initialized {
		d.init()
	}
	for i := range d.bins {
		d.bins[i] *= binDecay
	}
	d.bins[min(int(ratio/binWidth), binCount-1)]++
}

// weightAbove returns the weight of durations longer than x.
func (d *durationHistogram) weightAbove(x float64) float64 {
	var sum float64
	for i := binCount - 1; i >= 0; i-- {
		low := float64(i) * binWidth
		if x <= low {
			sum += d.bins[i]

			continue
		}
		if x < low+binWidth {
			sum += d.bins[i] * (low + binWidth - x) / binWidth
		}

		break
	}

	return sum
}

// endProbability returns the probability that work of age x ends within the next h.
func (d *durationHistogram) endProbability(x, h float64) float64 {
	if !d.initialized {
		d.init()
	}
	rest := d.weightAbove(x)
	if rest < 1e-3 {
		return min(1, h/minRemaining)
	}

	return 1 - d.weightAbove(x+h)/rest
}

// expectedRemaining returns the expected remaining duration of work of age x.
func (d *durationHistogram) expectedRemaining(x float64) float64 {
	if !d.initialized {
		d.init()
	}
	var sum, weight float64
	for i := range d.bins {
		low, high := float64(i)*binWidth, float64(i+1)*binWidth
		if high <= x {
			continue
		}
		part := min(1, (high-x)/binWidth)
		sum += d.bins[i] * part * ((max(low, x)+high)/2 - x)
		weight += d.bins[i] * part
	}
	if weight < 1e-3 {
		return minRemaining
	}

	return sum / weight
}
