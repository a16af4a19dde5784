// Package matcher validates routing plans and matches requests against the active
// plan. It does no I/O.
package matcher

import (
	"math"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/wire"
)

// ErrInvalid marks the error of a plan that failed validation and must not be
// activated.
var ErrInvalid = errors.New("invalid plan")

// pathKey identifies a path by its host in lower case and its URL prefix.
type pathKey struct{ host, prefix string }

// Validate checks a plan and returns all its errors, joined and marked ErrInvalid.
func Validate(p *wire.Plan) error {
	var errs []error
	addError := func(format string, args ...any) {
		errs = append(errs, errors.Newf(format, args...))
	}
	if p.GetVersion() == 0 {
		addError("version: must be positive")
	}
	pools := make(map[string]bool)
	for _, pool := range p.GetPools() {
		if pool.GetName() == "" || pools[pool.GetName()] {
			addError("pool %q: names must be distinct and not empty", pool.GetName())
		}
		pools[pool.GetName()] = true
	}
	if err := validateCustomers(p.GetCustomers()); err != nil {
		errs = append(errs, err)
	}
	seen := make(map[pathKey]bool)
	for _, path := range p.GetPaths() {
		key := pathKey{strings.ToLower(path.GetHost()), path.GetPrefix()}
		if seen[key] {
			addError("path %q: host and prefix are used twice", path.GetName())
		}
		seen[key] = true
		if err := validatePath(path, pools); err != nil {
			addError("path %q: %w", path.GetName(), err)
		}
	}
	if err := errors.Join(errs...); err != nil {
		return errors.Mark(errors.Newf("check plan: %w", err), ErrInvalid)
	}

	return nil
}

func validateCustomers(customers []*wire.Customer) error {
	var errs []error
	owners := make(map[string]int)
	for i, c := range customers {
		if c.GetName() == "" {
			errs = append(errs, errors.New("customer without a name"))
		}
		if rate, burst := c.GetRate(), c.GetBurst(); !(rate >= 0) || !(burst >= 0) || c.GetPlain() < 0 { // the negated comparisons also reject NaN
			errs = append(errs, errors.Newf("customer %q: rate, burst and plain must not be negative", c.GetName()))
		}
		if weight := c.GetWeight(); !(weight >= 0) || math.IsInf(weight, 1) {
			errs = append(errs, errors.Newf("customer %q: weight must be a finite number and not negative", c.GetName()))
		}
		for _, key := range c.GetKeys() {
			if owner, ok := owners[key]; ok && owner != i {
				errs = append(errs, errors.Newf("customers %q and %q share a key", customers[owner].GetName(), c.GetName()))
			}
			owners[key] = i
		}
	}

	return errors.Join(errs...)
}

func validatePath(path *wire.Path, pools map[string]bool) error {
	prefix := path.GetPrefix()
	switch {
	case path.GetHost() == "":
		return errors.New("host is missing")
	case !strings.HasPrefix(prefix, "/") || !strings.HasSuffix(prefix, "/"):
		return errors.New("prefix must begin and end with a slash")
	case path.GetNature() == wire.Nature_NATURE_UNKNOWN:
		return errors.New("nature is missing")
	case path.GetTimeout() <= 0:
		return errors.New("timeout must be positive")
	}
	var sum int64
	for _, share := range path.GetShares() {
		switch {
		case !pools[share.GetPool()]:
			return errors.Newf("pool %q is unknown", share.GetPool())
		case share.GetWeight() < 0 || share.GetWeight() > math.MaxInt32:
			return errors.Newf("weight of pool %q is out of range", share.GetPool())
		}
		sum += share.GetWeight()
	}
	if sum == 0 {
		return errors.New("weights add up to 0")
	}

	return nil
}

// Matcher is an immutable index of one plan, for looking up paths, pools and
// customers.
type Matcher struct {
	plan  *wire.Plan
	paths map[pathKey]*wire.Path
	pools map[string]*wire.Pool
	keys  map[string]*wire.Customer
	// usualRate is the mean rate of the customers that have one.
	usualRate float64
}

// New builds the index of a plan. The plan must have passed Validate.
func New(p *wire.Plan) *Matcher {
	indexed := &Matcher{
		plan: p, paths: make(map[pathKey]*wire.Path, len(p.GetPaths())),
		pools: make(map[string]*wire.Pool, len(p.GetPools())),
		keys:  make(map[string]*wire.Customer, len(p.GetCustomers())),
	}
	for _, c := range p.GetCustomers() {
		for _, key := range c.GetKeys() {
			indexed.keys[key] = c
		}
	}
	indexed.usualRate = usualRate(p.GetCustomers())
	for _, path := range p.GetPaths() {
		indexed.paths[pathKey{strings.ToLower(path.GetHost()), path.GetPrefix()}] = path
	}
	for _, pool := range p.GetPools() {
		indexed.pools[pool.GetName()] = pool
	}

	return indexed
}

// Version returns the version that the operator gave to the plan.
func (m *Matcher) Version() uint64 { return m.plan.GetVersion() }

// Bounds returns the limits on the size of callers' requests, the time to send their headers
// and the idle time of connections.
func (m *Matcher) Bounds() *wire.Bounds { return m.plan.GetBounds() }

// RequiresKey reports whether requests need an API key. Paths marked open need none.
func (m *Matcher) RequiresKey() bool { return m.plan.GetGuarded() }

// Customer returns the customer that an API key belongs to, or nil.
func (m *Matcher) Customer(key string) *wire.Customer { return m.keys[key] }

// Weight returns the weight of a customer among customers that compete for memory: the one that
// the plan names, otherwise its rate as a multiple of the usual one, since that is what it has
// been promised.
func (m *Matcher) Weight(c *wire.Customer) float64 {
	switch {
	case c.GetWeight() > 0:
		return c.GetWeight()
	case c.GetRate() > 0:
		return c.GetRate() / m.usualRate
	default:
		return 1
	}
}

func usualRate(customers []*wire.Customer) float64 {
	sum, n := 0.0, 0
	for _, c := range customers {
		if c.GetRate() > 0 {
			sum += c.GetRate()
			n++
		}
	}

	return sum / float64(max(n, 1))
}

// Customers returns all customers.
func (m *Matcher) Customers() []*wire.Customer { return m.plan.GetCustomers() }

// Pool returns the pool with a name, or nil.
func (m *Matcher) Pool(name string) *wire.Pool { return m.pools[name] }

// Balance returns how requests are balanced over the servers of a pool.
func (m *Matcher) Balance(pool string) *wire.Balance { return m.pools[pool].GetBalance() }

// Pools returns all pools.
func (m *Matcher) Pools() []*wire.Pool { return m.plan.GetPools() }

// Paths returns all paths.
func (m *Matcher) Paths() []*wire.Path { return m.plan.GetPaths() }

// Match returns the path of host with the longest prefix of target, or nil. A port
// in host is ignored. The cost depends only on the number of slashes in target.
func (m *Matcher) Match(host, target string) *wire.Path {
	host = strings.ToLower(host)
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	for end := len(target); ; {
		slash := strings.LastIndexByte(target[:end], '/')
		if slash < 0 {
			return nil
		}
		if path := m.paths[pathKey{host, target[:slash+1]}]; path != nil {
			return path
		}
		end = slash
	}
}

// ChoosePool selects a pool of a path by weight. The draw is a random number in
// [0, 1).
func ChoosePool(path *wire.Path, draw float64) string {
	var sum int64
	for _, share := range path.GetShares() {
		sum += share.GetWeight()
	}
	remaining := int64(draw * float64(sum))
	for _, share := range path.GetShares() {
		if remaining < share.GetWeight() {
			return share.GetPool()
		}
		remaining -= share.GetWeight()
	}

	return ""
}

// Repeatable reports whether requests of a path may run more than once: idempotent
// requests and streams that can be resumed.
func Repeatable(path *wire.Path) bool {
	return path.GetNature() == wire.Nature_NATURE_IDEMPOTENT ||
		path.GetNature() == wire.Nature_NATURE_STREAM && path.GetResume()
}
