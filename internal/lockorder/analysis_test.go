// Package lockorder checks that all mutexes of the program are acquired in one order.
package lockorder

import (
	"cmp"
	"fmt"
	"go/token"
	"go/types"
	"maps"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/tools/go/callgraph/cha"
	"golang.org/x/tools/go/callgraph/vta"
	"golang.org/x/tools/go/packages"
	"golang.org/x/tools/go/ssa"
	"golang.org/x/tools/go/ssa/ssautil"
)

// class is a mutex for the analysis: all instances of a field of a struct type, or a variable.
type class string

// frame is one function, analysed for one mutex that is held at its call, if any, and for the
// functions that are known to be its arguments. The held mutexes do not affect each other, so
// one at a time is enough.
type frame struct {
	fn       *ssa.Function
	held     class                   // "" if none
	bound    map[ssa.Value]ssa.Value // parameters and free variables that are known functions
	caller   *frame                  // the first one
	callSite token.Pos
	callers  map[*frame]bool
	returns  bool
	exit     heldSet // mutexes held at the return; only the one held at the call, if there is one
}

type heldSet map[class]bool

// frameKey identifies a frame.
type frameKey struct {
	fn    *ssa.Function
	held  class
	bound string
}

// edge is an acquisition of a mutex while another one is held.
type edge struct{ from, to class }

// analysis finds the order in which a program acquires its mutexes. It follows calls within the
// program, and the functions and interfaces that are passed to other packages, which are taken
// to call them before they return. It does not follow what another package stores and calls
// from a later call, and it knows no mutexes of other packages.
type analysis struct {
	files     *token.FileSet
	functions map[*ssa.Function]bool
	callees   map[ssa.CallInstruction][]*ssa.Function // of dynamic calls
	relevant  map[*ssa.Function]bool                  // functions that operate on a mutex, also in calls
	frames    map[frameKey]*frame
	ids       map[any]int
	queue     []*frame
	queued    map[*frame]bool
	edges     map[edge][]string // with the path of the first acquisition
}

// asynchronous are functions of other packages that run their arguments later, on a goroutine of
// their own.
var asynchronous = map[string]bool{
	"(*sync.WaitGroup).Go": true, "context.AfterFunc": true, "time.AfterFunc": true,
}

// analyze returns the analysis of the packages that match the patterns in a directory.
func analyze(dir string, patterns ...string) (*analysis, error) {
	files := token.NewFileSet()
	loaded, err := packages.Load(&packages.Config{Mode: packages.LoadSyntax, Dir: dir, Fset: files}, patterns...)
	if err != nil {
		return nil, errors.Newf("load packages: %w", err)
	}
	for _, p := range loaded {
		for _, err := range p.Errors {
			return nil, errors.Newf("load %s: %w", p.PkgPath, err)
		}
	}
	program, _ := ssautil.Packages(loaded, ssa.InstantiateGenerics)
	program.Build()
	a := &analysis{
		files: files, functions: make(map[*ssa.Function]bool), callees: make(map[ssa.CallInstruction][]*ssa.Function),
		frames: make(map[frameKey]*frame), ids: make(map[any]int), queued: make(map[*frame]bool), edges: make(map[edge][]string),
	}
	for fn := range ssautil.AllFunctions(program) {
		if len(fn.Blocks) > 0 {
			a.functions[fn] = true
		}
	}
	a.findCallees(program)
	a.findRelevant()
	for fn := range a.relevant {
		a.enter(target{fn: fn}, "", nil, token.NoPos)
	}
	for len(a.queue) > 0 {
		f := a.queue[0]
		a.queue = a.queue[1:]
		a.queued[f] = false
		a.run(f)
	}

	return a, nil
}

// findCallees finds the functions that dynamic calls may reach, by the flow of types.
func (a *analysis) findCallees(program *ssa.Program) {
	for _, n := range vta.CallGraph(a.functions, cha.CallGraph(program)).Nodes {
		for _, e := range n.Out {
			if e.Site != nil && a.functions[e.Callee.Func] {
				a.callees[e.Site] = append(a.callees[e.Site], e.Callee.Func)
			}
		}
	}
	for _, list := range a.callees {
		slices.SortFunc(list, func(x, y *ssa.Function) int { return cmp.Compare(x.String(), y.String()) })
	}
}

// findRelevant marks the functions that operate on a mutex, directly or in calls.
func (a *analysis) findRelevant() {
	a.relevant = make(map[*ssa.Function]bool)
	callers := make(map[*ssa.Function][]*ssa.Function)
	var list []*ssa.Function
	for fn := range a.functions {
		for _, b := range fn.Blocks {
			for _, i := range b.Instrs {
				site, ok := i.(ssa.CallInstruction)
				if _, started := i.(*ssa.Go); !ok || started {
					continue
				}
				if op, _ := a.operation(nil, site.Common()); op != none {
					list = append(list, fn)
				}
				for _, t := range a.targets(nil, site) {
					callers[t.fn] = append(callers[t.fn], fn)
				}
			}
		}
	}
	for ; len(list) > 0; list = list[1:] {
		if !a.relevant[list[0]] {
			a.relevant[list[0]] = true
			list = append(list, callers[list[0]]...)
		}
	}
}

// id numbers functions and values.
func (a *analysis) id(x any) int {
	if _, ok := a.ids[x]; !ok {
		a.ids[x] = len(a.ids)
	}

	return a.ids[x]
}

// enter returns the frame of a call, which is analysed if it is new.
func (a *analysis) enter(t target, held class, caller *frame, site token.Pos) *frame {
	key := frameKey{t.fn, held, t.key}
	f := a.frames[key]
	if f == nil {
		f = &frame{fn: t.fn, held: held, bound: t.bound, caller: caller, callSite: site, callers: make(map[*frame]bool), exit: make(heldSet)}
		a.frames[key] = f
		a.enqueue(f)
	}
	if caller != nil {
		f.callers[caller] = true
	}

	return f
}

func (a *analysis) enqueue(f *frame) {
	if !a.queued[f] {
		a.queued[f] = true
		a.queue = append(a.queue, f)
	}
}

// run analyses the body of a function and updates the mutexes that are held at its return.
func (a *analysis) run(f *frame) {
	if len(f.fn.Blocks) == 0 {
		a.leave(f, heldSet{f.held: true})

		return
	}
	first := f.fn.Blocks[0]
	at := map[*ssa.BasicBlock]heldSet{first: {}}
	if f.held != "" {
		at[first][f.held] = true
	}
	for blocks := []*ssa.BasicBlock{first}; len(blocks) > 0; blocks = blocks[1:] {
		block := blocks[0]
		held := maps.Clone(at[block])
		if !a.runBlock(f, block, held) {
			continue
		}
		if _, ok := block.Instrs[len(block.Instrs)-1].(*ssa.Return); ok {
			a.leave(f, held)
		}
		for _, next := range block.Succs {
			old, seen := at[next]
			merged := maps.Clone(held)
			maps.Copy(merged, old)
			if !seen || len(merged) > len(old) {
				at[next] = merged
				blocks = append(blocks, next)
			}
		}
	}
}

// leave records the mutexes that are held at a return of a frame.
func (a *analysis) leave(f *frame, held heldSet) {
	changed := !f.returns
	f.returns = true
	for c := range held {
		if !f.exit[c] && (f.held == "" || c == f.held) {
			f.exit[c] = true
			changed = true
		}
	}
	if !changed {
		return
	}
	for caller := range f.callers {
		a.enqueue(caller)
	}
}

// runBlock applies the instructions of a block to the set of held mutexes. It returns false if
// the end of the block is not reached.
func (a *analysis) runBlock(f *frame, block *ssa.BasicBlock, held heldSet) bool {
	for _, instruction := range block.Instrs {
		switch i := instruction.(type) {
		case *ssa.Call:
			if !a.call(f, i, held) {
				return false
			}
		case *ssa.RunDefers:
			for _, d := range slices.Backward(defersBefore(f.fn, block)) {
				if !a.call(f, d, held) {
					return false
				}
			}
		}
	}

	return true
}

// defersBefore returns the deferred calls that may have been scheduled before the end of a
// block, in the order of the program.
func defersBefore(fn *ssa.Function, end *ssa.BasicBlock) []*ssa.Defer {
	before := map[*ssa.BasicBlock]bool{end: true}
	for list := []*ssa.BasicBlock{end}; len(list) > 0; list = list[1:] {
		for _, p := range list[0].Preds {
			if !before[p] {
				before[p] = true
				list = append(list, p)
			}
		}
	}
	var out []*ssa.Defer
	for _, b := range fn.DomPreorder() {
		if !before[b] {
			continue
		}
		for _, i := range b.Instrs {
			if d, ok := i.(*ssa.Defer); ok {
				out = append(out, d)
			}
		}
	}

	return out
}

// call applies a call to the set of held mutexes. It returns false if the call is not known to
// return.
func (a *analysis) call(f *frame, site ssa.CallInstruction, held heldSet) bool {
	op, c := a.operation(f, site.Common())
	switch op {
	case lock:
		a.acquire(f, c, site.Pos(), held)

		return true
	case unlock:
		delete(held, c)

		return true
	case ignored:
		return true
	case once:
		a.acquire(f, c, site.Pos(), held)
		defer delete(held, c)
	case none:
	}
	targets := a.targets(f, site)
	if len(targets) == 0 {
		return true
	}
	exit, returns := make(heldSet), false
	for _, t := range targets {
		if !a.relevant[t.fn] {
			maps.Copy(exit, held)
			returns = true

			continue
		}
		if f.held == "" {
			callee := a.enter(t, "", f, site.Pos())
			maps.Copy(exit, callee.exit)
			returns = returns || callee.returns
		}
		for c := range held {
			callee := a.enter(t, c, f, site.Pos())
			maps.Copy(exit, callee.exit)
			returns = returns || callee.returns
		}
		// Whether the call returns matters only while a mutex is held.
		returns = returns || f.held != "" && len(held) == 0
	}
	clear(held)
	maps.Copy(held, exit)
	delete(held, "")

	return returns
}

// acquire records that a mutex is acquired while others are held, and adds it to them.
func (a *analysis) acquire(f *frame, c class, at token.Pos, held heldSet) {
	if c == "" {
		return
	}
	for from := range held {
		e := edge{from, c}
		if from == c || a.edges[e] != nil {
			continue
		}
		path := []string{fmt.Sprintf("%s acquires %s at %s", nameOf(f.fn), c, a.position(at))}
		step := f
		for ; step.held == from; step = step.caller {
			path = append(path, fmt.Sprintf("called by %s at %s", nameOf(step.caller.fn), a.position(step.callSite)))
		}
		a.edges[e] = append(path, fmt.Sprintf("%s holds %s", nameOf(step.fn), from))
	}
	// A frame with a mutex follows only this one.
	if f.held == "" || f.held == c {
		held[c] = true
	}
}

// target is a function that a call may reach.
type target struct {
	fn    *ssa.Function
	bound map[ssa.Value]ssa.Value
	key   string // of bound
}

// targets returns the functions of the program that a call may reach.
func (a *analysis) targets(f *frame, site ssa.CallInstruction) []target {
	common := site.Common()
	if fn, closure := resolve(f, common.Value); fn != nil && !common.IsInvoke() {
		switch {
		case a.functions[fn]:
			return []target{a.bind(f, fn, closure, common.Args)}
		case asynchronous[fn.String()]:
			return nil
		default:
			return a.callbacks(f, common.Args)
		}
	}
	var out []target
	for _, fn := range a.callees[site] {
		args := common.Args
		if common.IsInvoke() {
			args = slices.Concat([]ssa.Value{common.Value}, args)
		}
		out = append(out, a.bind(f, fn, nil, args))
	}
	if len(out) == 0 {
		return a.callbacks(f, common.Args)
	}

	return out
}

// callbacks returns the functions that a function of another package may call: its arguments
// that are functions, and the methods of those that are interfaces.
func (a *analysis) callbacks(f *frame, args []ssa.Value) []target {
	var out []target
	for _, arg := range args {
		if fn, closure := resolve(f, arg); fn != nil && a.functions[fn] {
			out = append(out, a.bind(f, fn, closure, nil))
		}
		converted, ok := arg.(*ssa.MakeInterface)
		if !ok {
			continue
		}
		methods := types.NewMethodSet(converted.Type())
		for m := range methods.Methods() {
			fn := converted.Parent().Prog.LookupMethod(converted.X.Type(), m.Obj().Pkg(), m.Obj().Name())
			if fn != nil && a.functions[fn] {
				out = append(out, a.bind(f, fn, nil, nil))
			}
		}
	}

	return out
}

// bind returns a target with the arguments and free variables that are known functions.
func (a *analysis) bind(f *frame, fn *ssa.Function, closure *ssa.MakeClosure, args []ssa.Value) target {
	if f == nil || !a.relevant[fn] {
		return target{fn: fn}
	}
	bound := make(map[ssa.Value]ssa.Value)
	var key strings.Builder
	bindOne := func(to, from ssa.Value) {
		if _, ok := to.Type().Underlying().(*types.Signature); !ok {
			return
		}
		if b, ok := f.bound[from]; ok {
			from = b
		}
		if known, _ := resolve(f, from); known != nil && a.relevant[known] {
			bound[to] = from
			fmt.Fprint(&key, a.id(to), "=", a.id(from), " ")
		}
	}
	if len(args) == len(fn.Params) {
		for n, p := range fn.Params {
			bindOne(p, args[n])
		}
	}
	if closure != nil {
		for n, v := range fn.FreeVars {
			bindOne(v, closure.Bindings[n])
		}
	}

	return target{fn, bound, key.String()}
}

// resolve returns the function that a value is known to be, and its closure if it has one.
func resolve(f *frame, v ssa.Value) (*ssa.Function, *ssa.MakeClosure) {
	if f != nil {
		if b, ok := f.bound[v]; ok {
			v = b
		}
	}
	switch v := v.(type) {
	case *ssa.Function:
		return v, nil
	case *ssa.MakeClosure:
		fn, _ := v.Fn.(*ssa.Function)

		return fn, v
	case *ssa.ChangeType:
		return resolve(f, v.X)
	}

	return nil, nil
}

// operations on mutexes.
type operationKind int

const (
	none operationKind = iota
	lock
	unlock
	once
	ignored
)

var operations = map[string]operationKind{
	"(*sync.Mutex).Lock": lock, "(*sync.Mutex).Unlock": unlock, "(*sync.Mutex).TryLock": ignored,
	"(*sync.RWMutex).Lock": lock, "(*sync.RWMutex).Unlock": unlock, "(*sync.RWMutex).TryLock": ignored,
	"(*sync.RWMutex).RLock": lock, "(*sync.RWMutex).RUnlock": unlock, "(*sync.RWMutex).TryRLock": ignored,
	"(*sync.Once).Do": once,
}

// operation returns what a call does to a mutex, and the class of that mutex, "" if it is not
// considered.
func (a *analysis) operation(f *frame, call *ssa.CallCommon) (operationKind, class) {
	fn, closure := resolve(f, call.Value)
	if fn == nil || call.IsInvoke() {
		return none, ""
	}
	args := call.Args
	name := fn.String()
	if closure != nil {
		if bound, ok := strings.CutSuffix(name, "$bound"); ok {
			name, args = bound, closure.Bindings
		}
	}
	op := operations[name]
	if op == none {
		return none, ""
	}

	return op, a.classOf(args[0])
}

// classOf returns the class of a mutex, given a pointer to it.
func (a *analysis) classOf(v ssa.Value) class {
	switch v := v.(type) {
	case *ssa.FieldAddr:
		owner := types.Unalias(v.X.Type().Underlying().(*types.Pointer).Elem())
		field := owner.Underlying().(*types.Struct).Field(v.Field)
		if named, ok := owner.(*types.Named); ok {
			return class(named.Origin().Obj().Pkg().Name() + "." + named.Obj().Name() + "." + field.Name())
		}

		return class(field.Pkg().Name() + ".struct@" + a.position(field.Pos()))
	case *ssa.Global:
		return class(v.Pkg.Pkg.Name() + "." + v.Name())
	case *ssa.UnOp:
		return a.classOf(v.X)
	case *ssa.IndexAddr:
		return a.classOf(v.X)
	case *ssa.Alloc, *ssa.FreeVar, *ssa.Parameter, *ssa.Call, *ssa.Phi:
		return class(nameOf(v.Parent()) + "." + v.Name() + "@" + a.position(v.Pos()))
	}

	return ""
}

func nameOf(fn *ssa.Function) string {
	if fn.Pkg == nil {
		return fn.String()
	}

	return fn.Pkg.Pkg.Name() + "." + fn.RelString(fn.Pkg.Pkg)
}

func (a *analysis) position(at token.Pos) string {
	p := a.files.Position(at)

	return fmt.Sprintf("%s/%s:%d", filepath.Base(filepath.Dir(p.Filename)), filepath.Base(p.Filename), p.Line)
}

// cycles describes a shortest cycle through each class that is part of one.
func (a *analysis) cycles() []string {
	next := make(map[class][]class)
	for e := range a.edges {
		next[e.from] = append(next[e.from], e.to)
	}
	for _, list := range next {
		slices.Sort(list)
	}
	var out []string
	covered := make(map[class]bool)
	for _, start := range slices.Sorted(maps.Keys(next)) {
		cycle := shortestCycle(next, start)
		if cycle == nil || covered[start] {
			continue
		}
		var text strings.Builder
		fmt.Fprintf(&text, "%s", cycle[0])
		for _, c := range append(cycle[1:], cycle[0]) {
			fmt.Fprintf(&text, " -> %s", c)
		}
		for n, from := range cycle {
			covered[from] = true
			to := cycle[(n+1)%len(cycle)]
			fmt.Fprintf(&text, "\n  %s is acquired while %s is held:", to, from)
			for _, step := range slices.Backward(a.edges[edge{from, to}]) {
				fmt.Fprintf(&text, "\n    %s", step)
			}
		}
		out = append(out, text.String())
	}

	return out
}

// shortestCycle returns a shortest cycle that begins at start, or nil.
func shortestCycle(next map[class][]class, start class) []class {
	before := make(map[class]class)
	for list := []class{start}; len(list) > 0; list = list[1:] {
		for _, c := range next[list[0]] {
			if c == start {
				var cycle []class
				for at := list[0]; at != start; at = before[at] {
					cycle = append(cycle, at)
				}

				return append([]class{start}, reversed(cycle)...)
			}
			if _, seen := before[c]; !seen {
				before[c] = list[0]
				list = append(list, c)
			}
		}
	}

	return nil
}

func reversed(list []class) []class {
	slices.Reverse(list)

	return list
}
