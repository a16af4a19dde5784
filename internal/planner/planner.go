// Package planner checks routing plans and finds the path of a request in the one
// that is in force. It does no I/O.
package planner

import (
	"math"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/wire"
)

// ErrInvalid marks a plan that must not come into force.
var ErrInvalid = errors.New("the plan is not valid")

// place is where a path applies.
type place struct{ host, prefix string }

// Validate reports every fault of a plan at once. The error is marked ErrInvalid.
func Validate(p *wire.Plan) error {
	var faults []error
	fail := func(format string, args ...any) {
		faults = append(faults, errors.Newf(format, args...))
	}
	if p.GetVersion() == 0 {
		fail("version: must be positive")
	}
	pools := make(map[string]bool)
	for _, pool := range p.GetPools() {
		if pool.GetName() == "" || pools[pool.GetName()] {
			fail("pool %q: names must be distinct and not empty", pool.GetName())
		}
		pools[pool.GetName()] = true
	}
	if err := validateCustomers(p.GetCustomers()); err != nil {
		faults = append(faults, err)
	}
	places := make(map[place]bool)
	for _, path := range p.GetPaths() {
		at := place{strings.ToLower(path.GetHost()), path.GetPrefix()}
		if places[at] {
			fail("path %q: host and prefix are used twice", path.GetName())
		}
		places[at] = true
		if err := validatePath(path, pools); err != nil {
			fail("path %q: %w", path.GetName(), err)
		}
	}
	if err := errors.Join(faults...); err != nil {
		return errors.Mark(errors.Newf("check plan: %w", err), ErrInvalid)
	}

	return nil
}

func validateCustomers(customers []*wire.Customer) error {
	var faults []error
	owners := make(map[string]int)
	for i, c := range customers {
		if c.GetName() == "" {
			faults = append(faults, errors.New("customer without a name"))
		}
		if rate, burst := c.GetRate(), c.GetBurst(); !(rate >= 0) || !(burst >= 0) || c.GetPlain() < 0 { // not a number is refused too
			faults = append(faults, errors.Newf("customer %q: rate, burst and plain must not be negative", c.GetName()))
		}
		for _, key := range c.GetKeys() {
			if owner, ok := owners[key]; ok && owner != i {
				faults = append(faults, errors.Newf("customers %q and %q share a key", customers[owner].GetName(), c.GetName()))
			}
			owners[key] = i
		}
	}

	return errors.Join(faults...)
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

// Planner is one plan in force. It never changes.
type Planner struct {
	plan  *wire.Plan
	paths map[place]*wire.Path
	pools map[string]*wire.Pool
	keys  map[string]*wire.Customer
}

// New indexes a plan that Validate has accepted.
func New(p *wire.Plan) *Planner {
	out := &Planner{
		plan: p, paths: make(map[place]*wire.Path, len(p.GetPaths())),
		pools: make(map[string]*wire.Pool, len(p.GetPools())),
		keys:  make(map[string]*wire.Customer, len(p.GetCustomers())),
	}
	for _, c := range p.GetCustomers() {
		for _, key := range c.GetKeys() {
			out.keys[key] = c
		}
	}
	for _, path := range p.GetPaths() {
		out.paths[place{strings.ToLower(path.GetHost()), path.GetPrefix()}] = path
	}
	for _, pool := range p.GetPools() {
		out.pools[pool.GetName()] = pool
	}

	return out
}

// Version returns the operator's version.
func (p *Planner) Version() uint64 { return p.plan.GetVersion() }

// Bounds returns the limits for what callers send.
func (p *Planner) Bounds() *wire.Bounds { return p.plan.GetBounds() }

// Guarded tells whether requests need a key, unless their path is open.
func (p *Planner) Guarded() bool { return p.plan.GetGuarded() }

// Customer returns the customer that holds a key, or nil.
func (p *Planner) Customer(key string) *wire.Customer { return p.keys[key] }

// Customers returns all customers.
func (p *Planner) Customers() []*wire.Customer { return p.plan.GetCustomers() }

// Pool returns a pool by name, or nil.
func (p *Planner) Pool(name string) *wire.Pool { return p.pools[name] }

// Pools returns all pools.
func (p *Planner) Pools() []*wire.Pool { return p.plan.GetPools() }

// Match returns the path with the longest prefix of target, or nil. The host may
// carry a port. The cost depends on the slashes in target only.
func (p *Planner) Match(host, target string) *wire.Path {
	host = strings.ToLower(host)
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	for end := len(target); ; {
		slash := strings.LastIndexByte(target[:end], '/')
		if slash < 0 {
			return nil
		}
		if path := p.paths[place{host, target[:slash+1]}]; path != nil {
			return path
		}
		end = slash
	}
}

// Choose returns the pool of a path for a draw from 0 to below 1.
func Choose(path *wire.Path, draw float64) string {
	var sum int64
	for _, share := range path.GetShares() {
		sum += share.GetWeight()
	}
	at := int64(draw * float64(sum))
	for _, share := range path.GetShares() {
		if at < share.GetWeight() {
			return share.GetPool()
		}
		at -= share.GetWeight()
	}

	return ""
}

// Repeatable tells whether requests of a path may run more than once.
func Repeatable(path *wire.Path) bool {
	return path.GetNature() == wire.Nature_NATURE_IDEMPOTENT ||
		path.GetNature() == wire.Nature_NATURE_STREAM && path.GetResume()
}
