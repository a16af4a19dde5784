package fencer_test

import (
	"fmt"
	"testing"

	"github.com/damasklever/damasklever/internal/fencer"
)

// Guards against executing an order with a stale token, twice, or before the
// current token is known.
func TestBegin(t *testing.T) {
	done := fencer.Result{State: "done"}
	tests := map[string]struct {
		prepare func(f *fencer.Fencer)
		id      string
		token   uint64
		want    fencer.Decision
	}{
		"before the token is known": {func(*fencer.Fencer) {}, "a", 9, fencer.Decision{Kind: fencer.TokenUnknown}},
		"current":                   {func(f *fencer.Fencer) { f.UpdateToken(5) }, "a", 5, fencer.Decision{Kind: fencer.Run}},
		"newer":                     {func(f *fencer.Fencer) { f.UpdateToken(5) }, "a", 6, fencer.Decision{Kind: fencer.Run}},
		"stale":                     {func(f *fencer.Fencer) { f.UpdateToken(5) }, "a", 4, fencer.Decision{Kind: fencer.Stale}},
		"UpdateToken with an older token": {func(f *fencer.Fencer) {
			f.UpdateToken(5)
			f.UpdateToken(3)
		}, "a", 4, fencer.Decision{Kind: fencer.Stale}},
		"after a newer order": {func(f *fencer.Fencer) {
			f.UpdateToken(5)
			f.Begin("b", 7)
		}, "a", 6, fencer.Decision{Kind: fencer.Stale}},
		"running": {func(f *fencer.Fencer) {
			f.UpdateToken(5)
			f.Begin("a", 5)
		}, "a", 5, fencer.Decision{Kind: fencer.Running}},
		"duplicate, token now stale": {func(f *fencer.Fencer) {
			f.UpdateToken(5)
			f.Begin("a", 5)
			f.Finish("a", done)
			f.Finish("a", fencer.Result{State: "failed"})
			f.UpdateToken(8)
		}, "a", 5, fencer.Decision{Kind: fencer.Duplicate, Result: done}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := fencer.New()
			test.prepare(f)
			if got := f.Begin(test.id, test.token); got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

// Guards against unbounded growth of the stored results.
func TestResultsAreBounded(t *testing.T) {
	f := fencer.New()
	f.UpdateToken(1)
	for i := range 2000 {
		id := fmt.Sprint(i)
		f.Begin(id, 1)
		f.Finish(id, fencer.Result{State: "done"})
	}
	if got, want := f.Begin("0", 1).Kind, fencer.Run; got != want {
		t.Errorf("oldest: got %v, want %v", got, want)
	}
	if got, want := f.Begin("1999", 1).Kind, fencer.Duplicate; got != want {
		t.Errorf("newest: got %v, want %v", got, want)
	}
}
