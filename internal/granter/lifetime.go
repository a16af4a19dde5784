package granter

// lifetime is the distribution of the time that work takes, as a multiple of
// its expected cost. It is learned from the ends seen lately, because answers
// rarely use all tokens that their callers allow.
type lifetime struct {
	bins  [lifeBins]float64
	known bool
}

const (
	lifeBins  = 24
	lifeWidth = 0.1 // of the expected cost
	// lifeKeep is the weight that older ends keep at each new one: about the
	// last 200 ends count.
	lifeKeep = 0.995
	// lifeLeast is the residual time of work that lasts longer than any seen.
	lifeLeast = 0.1
)

// init spreads little weight over half to one and a half of the cost.
func (l *lifetime) init() {
	for i := 5; i < 15; i++ {
		l.bins[i] = 0.4
	}
	l.known = true
}

func (l *lifetime) add(ratio float64) {
	if !l.known {
		l.init()
	}
	for i := range l.bins {
		l.bins[i] *= lifeKeep
	}
	l.bins[min(int(ratio/lifeWidth), lifeBins-1)]++
}

// tail is the weight of lifetimes longer than x.
func (l *lifetime) tail(x float64) float64 {
	var sum float64
	for i := lifeBins - 1; i >= 0; i-- {
		low := float64(i) * lifeWidth
		if x <= low {
			sum += l.bins[i]

			continue
		}
		if x < low+lifeWidth {
			sum += l.bins[i] * (low + lifeWidth - x) / lifeWidth
		}

		break
	}

	return sum
}

// ends is the probability that work of age x ends within the next h.
func (l *lifetime) ends(x, h float64) float64 {
	if !l.known {
		l.init()
	}
	rest := l.tail(x)
	if rest < 1e-3 {
		return min(1, h/lifeLeast)
	}

	return 1 - l.tail(x+h)/rest
}

// rest is the expected time that work of age x still takes.
func (l *lifetime) rest(x float64) float64 {
	if !l.known {
		l.init()
	}
	var sum, weight float64
	for i := range l.bins {
		low, high := float64(i)*lifeWidth, float64(i+1)*lifeWidth
		if high <= x {
			continue
		}
		part := min(1, (high-x)/lifeWidth)
		sum += l.bins[i] * part * ((max(low, x)+high)/2 - x)
		weight += l.bins[i] * part
	}
	if weight < 1e-3 {
		return lifeLeast
	}

	return sum / weight
}
