package cloud

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

var oddNotices = []string{
	`{"sequence":3,"vm":` + strings.Repeat(`[`, 100_000) + strings.Repeat(`]`, 100_000) + `}`,
	`{"sequence":1e99,"vm":"x"}`, `{"sequence":3,"vm":5}`, `{"sequence":3,"vm":"x","deadline":"never"}`, `7`, `null`, `{"sequence":3}`,
}

// TestOddNoticeLeavesTheOthers guards against reclaims that nobody learns of because one notice cannot be decoded.
func TestOddNoticeLeavesTheOthers(t *testing.T) {
	c := qt.New(t)
	for _, odd := range oddNotices {
		comment := qt.Commentf("%.80s", odd)
		notices, err := decodeNotices(fmt.Appendf(nil, `[{"sequence":1,"vm":"a"},%s,{"sequence":4,"vm":"b"}]`, odd))
		c.Check(err, qt.ErrorIs, errUnreadableNotices, comment)
		c.Check(notices, qt.DeepEquals, []Notice{{Sequence: 1, VM: "a"}, {Sequence: 4, VM: "b"}}, comment)
		_, err = decodeNotices(fmt.Appendf(nil, `[%s]`, odd))
		c.Check(err, qt.ErrorIs, errUnreadableNotices, comment)
	}
}

func TestResponsesWithoutNotices(t *testing.T) {
	c := qt.New(t)
	for _, raw := range []string{``, `null`, `[]`, ` [ ] `} {
		notices, err := decodeNotices([]byte(raw))
		c.Check(err, qt.IsNil)
		c.Check(notices, qt.HasLen, 0)
	}
	for _, raw := range []string{`{}`, `7`, `[`, `[{"sequence":1`} {
		_, err := decodeNotices([]byte(raw))
		c.Check(err, qt.ErrorIs, errUnreadableNotices, qt.Commentf("%s", raw))
	}
}

// FuzzDecodeNotices checks that any text is decoded or refused, and that no notice lacks its VM.
func FuzzDecodeNotices(f *testing.F) {
	for _, odd := range oddNotices {
		f.Add([]byte("[" + odd + "]"))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		notices, _ := decodeNotices(raw)
		for _, n := range notices {
			if n.VM == "" {
				t.Fatal(notices)
			}
		}
	})
}
