package store

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestRevisionsOfALaterEraAreHigher(t *testing.T) {
	c := qt.New(t)
	c.Check(QualifiedRevision(0, 17), qt.Equals, int64(17))
	c.Check(QualifiedRevision(3, 0), qt.Equals, int64(0))
	c.Check(QualifiedRevision(2, 1) > QualifiedRevision(1, 1<<39), qt.IsTrue)
	qualified := QualifiedRevision(4, 12)
	c.Check(EraOf(qualified), qt.Equals, int64(4))
	c.Check(WithinEra(qualified), qt.Equals, int64(12))
}
