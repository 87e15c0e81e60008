package inbound

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestHeadEndsAtItsEmptyLine(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		text string
		head int
	}{
		{"GET / HTTP/1.1\r\nA: b\r\n\r\nbody", 24},
		{"GET / HTTP/1.1\nA: b\n\nbody", 21},
		{"GET / HTTP/1.1\r\nA: b\r\n", 22},
		{"\r\nGET / HTTP/1.1\r\n\r\nbody", 20},
		{"\r\n\r\nbody", 4},
	} {
		var s headScanner
		c.Check(s.scan([]byte(test.text)), qt.Equals, test.head, qt.Commentf("%q", test.text))
		c.Check(s.ended, qt.Equals, test.head < len(test.text))
	}
}

func TestHeadEndsAtTheSamePlaceHoweverItArrives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOf(rapid.SampledFrom([]string{"a", "\r", "\n", "\r\n", ":"})).Draw(t, "text"), "")
		var whole, split headScanner
		want := whole.scan([]byte(text))
		got := 0
		for left := text; left != ""; {
			n := rapid.IntRange(1, len(left)).Draw(t, "part")
			got += split.scan([]byte(left[:n]))
			left = left[n:]
		}
		if got != want || split.ended != whole.ended {
			t.Fatalf("%q: %d bytes in parts, %d at once", text, got, want)
		}
	})
}
