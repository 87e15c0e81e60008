package advice

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func naming(rate float64) Advice { return Advice{Limit: &rate} }

func TestParseLimit(t *testing.T) {
	for text, want := range map[string]float64{"1.2": 1.2, " 4 ": 4, "0": 0, "1e2": 100} {
		rate, err := ParseLimit(text)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, rate, qt.Equals, want)
	}
	for _, text := range []string{"", "many", "-1", "NaN", "Inf", "-Inf", "1,5", "1 2"} {
		_, err := ParseLimit(text)
		qt.Check(t, err, qt.ErrorMatches, `limit ".*" is no number of requests a second`)
	}
}

func TestLimitFollowsTheLatestAnswer(t *testing.T) {
	c := qt.New(t)
	var l Limit
	l = l.Observe(Advice{}, at(0), at(80))
	c.Check(l.Named, qt.IsFalse)
	l = l.Observe(naming(2), at(100), at(180))
	c.Check(l, qt.Equals, Limit{Rate: 2, Named: true, At: at(180)})
	l = l.Observe(naming(1), at(150), at(230))
	c.Check(l.Rate, qt.Equals, 1.0)
	l = l.Observe(Advice{}, at(240), at(320))
	c.Check(l.Named, qt.IsFalse)
}

func TestAnswerThatWasOvertakenEndsNoLimit(t *testing.T) {
	c := qt.New(t)
	l := Limit{}.Observe(naming(2), at(100), at(180))
	c.Check(l.Observe(Advice{}, at(179), at(400)).Named, qt.IsTrue)
	c.Check(l.Observe(naming(5), at(50), at(170)).Rate, qt.Equals, 2.0)
}

func TestUnreadableLimitChangesNothing(t *testing.T) {
	c := qt.New(t)
	_, err := ParseLimit("many")
	unreadable := Advice{LimitErr: err}
	c.Check(Limit{}.Observe(unreadable, at(0), at(10)), qt.Equals, Limit{})
	l := Limit{}.Observe(naming(2), at(100), at(180))
	c.Check(l.Observe(unreadable, at(200), at(280)), qt.Equals, l)
}
