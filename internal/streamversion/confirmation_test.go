package streamversion

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestConfirmationExpires(t *testing.T) {
	c := qt.New(t)
	var confirmation Confirmation
	c.Check(confirmation.Valid(3, start), qt.IsFalse, qt.Commentf("it was never confirmed"))
	confirmation.Observe(3, start)
	c.Check(confirmation.Valid(3, start.Add(ConfirmationBound)), qt.IsTrue)
	c.Check(confirmation.Valid(3, start.Add(ConfirmationBound+time.Millisecond)), qt.IsFalse)
	confirmation.Observe(3, start.Add(-time.Second))
	c.Check(confirmation.Valid(3, start.Add(ConfirmationBound)), qt.IsTrue, qt.Commentf("a late report takes nothing back"))
}

func TestConfirmationOfAnEarlierAssignmentConfirmsNoLaterOne(t *testing.T) {
	c := qt.New(t)
	var confirmation Confirmation
	confirmation.Observe(3, start)
	confirmation.Observe(4, time.Time{})
	c.Check(confirmation.Valid(4, start.Add(ConfirmationBound)), qt.IsTrue, qt.Commentf("4 was written later than 3 was the newest"))
	confirmation.Observe(3, start.Add(time.Hour))
	c.Check(confirmation.Valid(4, start.Add(time.Hour)), qt.IsFalse)
	c.Check(confirmation.Valid(3, start.Add(time.Hour)), qt.IsFalse)
}

func TestAssignmentExpiresOnlyAfterAllConfirmationsOfTheEarlierOne(t *testing.T) {
	c := qt.New(t)
	var earlier Confirmation
	written := start.Add(time.Second)
	earlier.Observe(1, written)
	for wait := time.Duration(0); wait < 10*time.Second; wait += 10 * time.Millisecond {
		if progress := ProgressOf(false, written, written.Add(wait)); progress == Expired {
			c.Check(earlier.Valid(1, written.Add(wait)), qt.IsFalse, qt.Commentf("%v", wait))
		}
	}
	c.Check(ProgressOf(false, written, written.Add(10*time.Second)), qt.Equals, Expired)
	c.Check(ProgressOf(false, time.Time{}, written), qt.Equals, Spreading)
	c.Check(ProgressOf(true, written, written), qt.Equals, AdoptedByAll)
}
