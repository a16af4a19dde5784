package parser_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/damasklever/damasklever/internal/parser"
	"github.com/damasklever/damasklever/internal/wire"
)

// Guards against statements that are parsed incorrectly.
func TestParse(t *testing.T) {
	tests := map[string]struct {
		text string
		want parser.Statement
	}{
		"show": {
			"show servers where region = kochi and pieces >= 10 sort name desc limit 5 # why",
			parser.Statement{Query: &wire.Query{
				Subject: "servers", Sort: "name", Desc: true, Limit: 5,
				Filters: []*wire.Filter{
					{Field: "region", Op: "=", Value: "kochi"},
					{Field: "pieces", Op: ">=", Value: "10"},
				},
			}},
		},
		"history":     {"history limit 2", parser.Statement{Query: &wire.Query{Subject: "commands", Limit: 2}}},
		"status":      {"status", parser.Statement{Query: &wire.Query{Subject: "status"}}},
		"joined sign": {"show ranks where level<2", parser.Statement{Query: &wire.Query{Subject: "ranks", Filters: []*wire.Filter{{Field: "level", Op: "<", Value: "2"}}}}},
		"create": {
			`create service desk kind=plain body=64KiB timeout=2s retention=24h routes="GET /roster idempotent, POST /slots once"`,
			parser.Statement{Edit: &wire.Edit{
				Verb: "create", Kind: "service", Name: "desk", Fields: []string{"kind", "body", "timeout", "retention", "routes"},
				Service: &wire.Service{
					Name: "desk", Kind: wire.Kind_KIND_PLAIN, Body: 65536, Timeout: 2000, Retention: 86400,
					Routes: []*wire.Route{
						{Method: "GET", Prefix: "/roster", Idempotent: true}, {Method: "POST", Prefix: "/slots"},
					},
				},
			}},
		},
		"change": {
			"change rank master first = 2s gap=75ms floor=20%",
			parser.Statement{Edit: &wire.Edit{
				Verb: "change", Kind: "rank", Name: "master", Fields: []string{"first", "gap", "floor"},
				Rank: &wire.Rank{Name: "master", First: 2000, Gap: 75, Floor: 20},
			}},
		},
		"quoted": {
			`set rule "a \"b\"" caller="x = y" regions=kochi,thrissur`,
			parser.Statement{Edit: &wire.Edit{
				Verb: "set", Kind: "rule", Name: `a "b"`, Fields: []string{"caller", "regions"},
				Rule: &wire.Rule{Name: `a "b"`, Caller: "x = y", Regions: []string{"kochi", "thrissur"}},
			}},
		},
		"delete": {"delete rank master", parser.Statement{Edit: &wire.Edit{Verb: "delete", Kind: "rank", Name: "master"}}},
		"drain":  {"drain server s1", parser.Statement{Edit: &wire.Edit{Verb: "drain", Kind: "server", Name: "s1"}}},
		"return": {"return server s1", parser.Statement{Edit: &wire.Edit{Verb: "return", Kind: "server", Name: "s1"}}},
		"order": {
			"order server s1 load m2",
			parser.Statement{Edit: &wire.Edit{Verb: "order", Kind: "server", Name: "s1", Order: &wire.Order{Verb: "load", Subject: "m2"}}},
		},
		"block": {
			`block digest 9f for 1h because "crashes twice"`,
			parser.Statement{Edit: &wire.Edit{
				Verb: "block", Kind: "digest", Name: "9f",
				Block: &wire.Block{Digest: "9f", Hold: 3600, Reason: "crashes twice"},
			}},
		},
		"release":     {"release digest 9f", parser.Statement{Edit: &wire.Edit{Verb: "release", Kind: "digest", Name: "9f"}}},
		"add peer":    {"add peer 4 10.0.0.4:7000", parser.Statement{Peer: &wire.Peering{Verb: "add", Id: 4, Addr: "10.0.0.4:7000"}}},
		"remove peer": {"remove peer 4", parser.Statement{Peer: &wire.Peering{Verb: "remove", Id: 4}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			all, err := parser.Parse(test.text)
			if err != nil {
				t.Fatal(err)
			}
			if got, want := len(all), 1; got != want {
				t.Fatalf("statements: got %d, want %d", got, want)
			}
			got, want := all[0], test.want
			if !proto.Equal(got.Query, want.Query) || !proto.Equal(got.Edit, want.Edit) || !proto.Equal(got.Peer, want.Peer) {
				t.Errorf("got %v %v %v, want %v %v %v", got.Query, got.Edit, got.Peer, want.Query, want.Edit, want.Peer)
			}
			if got, want := got.Text, strings.TrimSuffix(test.text, " # why"); got != want {
				t.Errorf("text: got %q, want %q", got, want)
			}
		})
	}
}

// Guards against comments, empty lines and semicolons that are handled incorrectly in a
// text of several statements.
func TestParseSeveralStatements(t *testing.T) {
	all, err := parser.Parse("# heading\r\n\r\ndrain server a; drain server b # both\n\n status\n")
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, s := range all {
		got = append(got, s.Text)
	}
	if got, want := strings.Join(got, "|"), "drain server a|drain server b|status"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got, want := all[2].Line, 5; got != want {
		t.Errorf("line: got %d, want %d", got, want)
	}
}

// Guards against errors that do not tell the operator the position or what is allowed
// there.
func TestErrors(t *testing.T) {
	tests := map[string]struct{ text, want string }{
		"verb":       {"\nshw ranks", "line 2, column 1: expected show, status,"},
		"subject":    {"show server", "column 6: expected services, ranks,"},
		"field":      {"create rank a lvel=1", "column 15: expected a field of rank: level, first, gap, floor or worth, found \"lvel\"\n  create rank a lvel=1\n                ^"},
		"value":      {"create rank a first=fast", `column 21: "fast" is not a duration like 75ms or 2s`},
		"fraction":   {"create rank a first=1us", `"1us" is not a multiple of 1ms`},
		"twice":      {"create rank a level=1 level=2", "field level is set twice"},
		"no field":   {"change rank a", "expected a field of rank"},
		"missing":    {"delete rank", "expected the name of a rank, found the end of the statement"},
		"quote":      {`drain server "a`, "column 14: expected a closing quote"},
		"escape":     {`drain server "a\q"`, "column 16: expected one of"},
		"operator":   {"show ranks where level ! 2", `expected !=, found "!"`},
		"rest":       {"drain server a b", `column 16: expected the end of the statement, found "b"`},
		"order":      {"show ranks limit 1 sort name", "expected where, sort, limit or the end, in this order"},
		"limit":      {"show ranks limit 0", "must be positive"},
		"hold":       {"block digest a for -1h", "must be positive"},
		"role":       {"order server a role both", "expected prefill or decode"},
		"overflow":   {"create rank a level=9999999999", "too large"},
		"size":       {"create service a body=9999999999GiB", "too large"},
		"wide chars": {"drain server ä ö", `column 16: expected the end of the statement, found "ö"`},
		"peer":       {"add peer 1", "expected the address of the host"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := parser.Parse(test.text)
			var parseErr *parser.Error
			if !errors.As(err, &parseErr) {
				t.Fatalf("got %v, want a *parser.Error", err)
			}
			if got, want := err.Error(), test.want; !strings.Contains(got, want) {
				t.Errorf("got %q, want %q in it", got, want)
			}
		})
	}
}

// Guards against a printed object or query that parses to a different one.
func FuzzParse(f *testing.F) {
	for _, text := range []string{
		`show servers where region ~ "ko#" and pieces != 3 sort name desc limit 5`,
		`set service a kind=plain body=8MiB timeout=1m30s retention=24h routes="GET /a idempotent"`,
		"set rank b level=1 first=2s gap=75ms floor=20% worth=-3; status",
		`set rule "x y" caller="#\\\"\n" regions=a,b share=5`,
		"block digest q for 1h\nadd peer 3 1.2.3.4:5",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		all, err := parser.Parse(text)
		if err != nil {
			if err.Error() == "" {
				t.Fatal("error without a message")
			}

			return
		}
		for _, s := range all {
			if s.Query != nil {
				checkRoundTrip(t, parser.PrintQuery(s.Query), s.Query, func(s parser.Statement) proto.Message { return s.Query })
			}
			if m := editedObject(s); m != nil {
				checkRoundTrip(t, parser.PrintObject(m), m, editedObject)
			}
		}
	})
}

func checkRoundTrip(t *testing.T, text string, want proto.Message, pick func(parser.Statement) proto.Message) {
	t.Helper()
	all, err := parser.Parse(text)
	if err != nil || len(all) != 1 {
		t.Fatalf("%q: got %d statements and %v, want 1", text, len(all), err)
	}
	if got := pick(all[0]); !proto.Equal(got, want) {
		t.Fatalf("%q: got %v, want %v", text, got, want)
	}
}

func editedObject(s parser.Statement) proto.Message {
	switch {
	case s.Edit.GetService() != nil:
		return s.Edit.GetService()
	case s.Edit.GetRank() != nil:
		return s.Edit.GetRank()
	case s.Edit.GetRule() != nil:
		return s.Edit.GetRule()
	default:
		return nil
	}
}

// Guards against formatted values that parse to another number.
func FuzzInteger(f *testing.F) {
	for u := parser.Number; u <= parser.Time; u++ {
		f.Add(int(u), int64(90_000))
		f.Add(int(u), int64(-1))
	}
	f.Fuzz(func(t *testing.T, unit int, n int64) {
		u := parser.Unit(unit)
		switch u {
		case parser.Number, parser.Percent, parser.Bytes:
		case parser.Millis, parser.Seconds, parser.Time:
			n %= 1 << 32 // longer durations and years after 9999 have no text form
		default:
			return
		}
		got, err := parser.ParseInteger(u, parser.FormatInteger(u, n))
		if err != nil || got != n {
			t.Errorf("%v: got %d and %v, want %d", u, got, err, n)
		}
	})
}
