package jsonscan

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// startsWithID reports whether an element of the tests begins at a quote.
func startsWithID(raw []byte, quote int) bool { return bytes.HasPrefix(raw[quote:], []byte(`"id":`)) }

func TestElements(t *testing.T) {
	for text, expected := range map[string][]string{
		``: nil, ` `: nil, `1, "a,b" ,null`: {`1`, `"a,b"`, `null`},
		`{"id":1},{"id":[{},{"id":2}]}`:                    {`{"id":1}`, `{"id":[{},{"id":2}]}`},
		`{"id":1,"a":[{},{"id":2},{"id":3}`:                {`{"id":1,"a":[{}`, `{"id":2}`, `{"id":3}`},
		`{"id":1,"a":{"b":1},{"id":2},{"id":3}`:            {`{"id":1,"a":{"b":1}`, `{"id":2}`, `{"id":3}`},
		`{"id":1,"a":"},{"id":2},{"id":3}`:                 {`{"id":1,"a":"}`, `{"id":2}`, `{"id":3}`},
		`{"id":1,"a":"\}, { "id":2}`:                       {`{"id":1,"a":"\}`, `{ "id":2}`},
		`{"id":1,"a":[1},{"id":2},{"id":3,"a":1]},{"id":4`: {`{"id":1,"a":[1}`, `{"id":2}`, `{"id":3,"a":1]}`, `{"id":4`},
		`{"id":1}},"a":2},{"id":3}`:                        {`{"id":1}},"a":2}`, `{"id":3}`},
		`{"id":1,"a":[1,{"id":2,"a":[1,{"id":3`:            {`{"id":1,"a":[1`, `{"id":2,"a":[1`, `{"id":3`},
	} {
		var got []string
		for _, element := range Elements([]byte(text), startsWithID) {
			got = append(got, string(element))
		}
		qt.Check(t, got, qt.DeepEquals, expected, qt.Commentf(text))
	}
}

func TestMembers(t *testing.T) {
	for text, expected := range map[string]string{
		`{}`: `ok`, ` { } `: `ok`, `{"a":1}`: `a=1 ok`, `{"a" : "}" , "b":[{"c":[]}]} `: `a="}" b=[{"c":[]}] ok`,
		``: ``, `[]`: ``, `null`: ``, `{`: ``, `{"a"`: ``, `{"a":`: ``, `{"a":1`: `a=1`, `{"a":{"b":1}`: `a={"b":1}`,
		`{"a":1,"b":[1}`: `a=1 b=[1}`, `{"a":1}}`: `a=1`, `{"a":}`: ``, `{"a":1,}`: `a=1`, `{"a":"b`: `a="b`, `{"a\\`: ``,
	} {
		var got []string
		if Members([]byte(text), func(m Member) { got = append(got, string(m.Key)+"="+string(m.Value)) }) {
			got = append(got, "ok")
		}
		qt.Check(t, strings.Join(got, " "), qt.Equals, expected, qt.Commentf(text))
	}
}

// checkCost checks that the text is read once and that no part of it belongs to two elements.
func checkCost(t *testing.T, text []byte) {
	t.Helper()
	s := newSplitter(text, startsWithID)
	s.split()
	if s.steps > 2*len(text) {
		t.Fatalf("%d steps for %d bytes", s.steps, len(text))
	}
	end := 0
	for _, e := range s.found {
		if e.begin < end || e.end < e.begin || e.end > len(text) {
			t.Fatalf("element %d to %d after %d", e.begin, e.end, end)
		}
		end = e.end
	}
}

// TestElementsInLinearTime guards against text that is read again for each level of its depth.
func TestElementsInLinearTime(t *testing.T) {
	for _, part := range []string{`{`, `[`, `}`, `]`, `"`, `{"id":`, `[1,{"id":`, `[1,{"id":1},`, `,{"id":"`, `{"a":"},`, ` `, `, {}`, `"\`, `{]`, `[}`} {
		checkCost(t, []byte(strings.Repeat(part, 20_000)))
		checkCost(t, []byte(`{"id":1,"a":`+strings.Repeat(part, 20_000)+`},{"id":2}`))
	}
}

func FuzzElements(f *testing.F) {
	f.Add([]byte(``))
	f.Add([]byte(`{"id":1,"a":[1,{"id":2,"a":[1,{"id":3},{"id":4`))
	f.Add([]byte(`{"id":1}},"a":2},{"id":3}]`))
	f.Add([]byte(`{"id":"},{"id":{}}, {"id":"a}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		checkCost(t, text)
		Members(text, func(Member) {})
		Tail(text)
	})
}
