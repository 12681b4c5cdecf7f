package history

import (
	"strings"
	"testing"
	"time"

	"mosslead/internal/registry/api"
)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func record(version int64, address string) api.Record {
	return api.Record{Endpoint: api.Endpoint{Name: "h-0", Address: address, Status: api.Ready}, Revision: version, ServerStatus: api.Ready}
}

func TestHistoriesAreJudged(t *testing.T) {
	register := func(from, to int, address string, ifVersion int64, x out) call {
		return call{op: op{kind: "register", name: "h-0", address: address, ifVersion: ifVersion}, out: x, from: ms(from), to: ms(to)}
	}
	read := func(from, to int, r api.Record) call {
		return call{op: op{kind: "read", name: "h-0", ifVersion: -1}, out: out{record: r}, from: ms(from), to: ms(to)}
	}
	for _, x := range []struct {
		name  string
		calls []call
		bad   bool
	}{
		{"written, then read", []call{register(0, 1, "a", 0, out{version: 5}), read(2, 3, record(5, "a"))}, false},
		{"a stale read", []call{register(0, 1, "a", 0, out{version: 5}), read(2, 3, api.Record{})}, true},
		{"a stale read of the time before", []call{register(0, 1, "a", 0, out{version: 5}), register(2, 3, "b", 5, out{version: 7}), read(4, 5, record(5, "a"))}, true},
		{"a read beside the write", []call{register(0, 10, "a", 0, out{version: 5}), read(2, 3, api.Record{}), read(4, 5, record(5, "a"))}, false},
		{"back and forth beside the write", []call{register(0, 10, "a", 0, out{version: 5}), read(2, 3, record(5, "a")), read(4, 5, api.Record{})}, true},
		{"two on one condition", []call{register(0, 1, "a", 0, out{version: 5}), register(2, 3, "b", 0, out{version: 6})}, true},
		{"one without an answer, done later", []call{register(0, 1, "a", 0, out{unknown: true}), read(2, 3, api.Record{}), read(4, 5, record(6, "a"))}, false},
		{"one without an answer, done and undone", []call{register(0, 1, "a", 0, out{unknown: true}), read(2, 3, record(6, "a")), read(4, 5, api.Record{})}, true},
		{"a version that goes back", []call{register(0, 1, "a", 0, out{version: 5}), register(2, 3, "b", 5, out{version: 4})}, true},
		{"a conflict where there is none", []call{register(0, 1, "a", 0, out{code: api.CodeConflict})}, true},
	} {
		r := &Run{calls: x.calls}
		if found := r.linearizable(); (len(found) > 0) != x.bad {
			t.Errorf("%s: got breaches %v, want any: %v", x.name, found, x.bad)
		}
	}
}

func TestWatchesAreJudged(t *testing.T) {
	const whole = `{"index":3,"snapshot":true,"endpoints":[{"name":"a","status":"Ready"},{"name":"b","status":"Ready"}]}`
	for _, x := range []struct {
		name, want string
		lines      []string
	}{
		{"in order", "", []string{whole, `{"index":4,"endpoints":[{"name":"a","status":"Gone"}]}`}},
		{"a change that was skipped", "another list", []string{whole, `{"index":5,"endpoints":[{"name":"c","status":"Ready"}]}`}},
		{"a version twice", "version 3 after 3", []string{whole, `{"index":3,"endpoints":[]}`}},
		{"back", "version 2 after 3", []string{whole, `{"index":2,"snapshot":true,"endpoints":[]}`}},
		{"an entry twice", "twice", []string{whole, `{"index":4,"endpoints":[{"name":"a","status":"Gone"},{"name":"a","status":"Ready"}]}`}},
		{"changes to nothing", "no list", []string{`{"index":4,"endpoints":[{"name":"a","status":"Gone"}]}`}},
	} {
		w := &watch{address: "r", index: -1, hashes: map[int64]uint64{}}
		var problems []string
		for _, line := range x.lines {
			if text := w.apply([]byte(line)); text != "" {
				problems = append(problems, text)
			}
		}
		// In the final list a is gone since version 4, and c is there since version 5.
		final := api.WatchEvent{Revision: 5, Endpoints: []api.Endpoint{{Name: "b", Status: api.Ready}, {Name: "c", Status: api.Ready}}}
		for _, b := range (&Run{watches: []*watch{w}}).checkWatches(final) {
			problems = append(problems, b.Text)
		}
		got := strings.Join(problems, "; ")
		if (x.want == "") != (got == "") || !strings.Contains(got, x.want) {
			t.Errorf("%s: got problems %q, want %q in them", x.name, got, x.want)
		}
	}
}

func TestWhatIsToldOfDocumentsIsJudged(t *testing.T) {
	put := func(text string, x out) call {
		return call{op: op{kind: "register", name: "h-0", address: text}, out: x}
	}
	is := func(region string, version int64, text string) api.Document {
		return api.Document{Service: "h-0", Region: region, Revision: version, Settings: []byte(text), Deleted: text == ""}
	}
	calls := []call{put(`"a"`, out{version: 5}), put(`"b"`, out{version: 7}), put(`"c"`, out{unknown: true})}
	for _, x := range []struct {
		name, rule string
		reports    [][]api.Document // by replica
	}{
		{"in order, one skipped", "", [][]api.Document{{is("n", 5, `"a"`), is("n", 7, `"b"`)}, {is("n", 7, `"b"`), is("n", 8, "")}}},
		{"again", "", [][]api.Document{{is("n", 5, `"a"`), is("n", 5, `"a"`)}}},
		{"one without an answer", "", [][]api.Document{{is("n", 9, `"c"`)}, {is("n", 9, `"c"`)}}},
		{"back", "monotonic", [][]api.Document{{is("n", 7, `"b"`), is("n", 5, `"a"`)}}},
		{"lower, of another region", "", [][]api.Document{{is("n", 7, `"b"`), is("m", 5, `"a"`)}}},
		{"back, with another region's between", "monotonic", [][]api.Document{{is("n", 7, `"b"`), is("m", 5, `"a"`), is("n", 5, `"a"`)}}},
		{"by nobody", "issued", [][]api.Document{{is("n", 6, `"x"`)}}},
		{"another's text", "issued", [][]api.Document{{is("n", 7, `"a"`)}}},
		{"two texts of one version", "issued", [][]api.Document{{is("n", 9, `"c"`)}, {is("n", 9, "")}}},
		{"deleted, and says something", "issued", [][]api.Document{{{Service: "h-0", Revision: 5, Settings: []byte(`"a"`), Deleted: true}}}},
	} {
		r := &Run{calls: calls}
		for _, reports := range x.reports {
			r.documentWatches = append(r.documentWatches, &documentWatch{service: "h-0", documents: reports, times: make([]time.Duration, len(reports))})
		}
		found := r.checkDocuments()
		if (x.rule == "") != (len(found) == 0) || len(found) > 0 && found[0].Rule != x.rule {
			t.Errorf("%s: got breaches %+v, want first one of rule %q", x.name, found, x.rule)
		}
	}
}
