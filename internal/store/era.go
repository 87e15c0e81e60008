package store

// eraBits is the number of bits of a revision below the era. 2^40 revisions and 2^13 eras fit into
// the integers that JSON numbers represent exactly.
const eraBits = 40

// MaxRevision is the highest revision within an era.
const MaxRevision = 1<<eraBits - 1

// QualifiedRevision combines a revision of the store with the store's era, which rises by one each
// time the store goes back to an older copy and assigns revisions again. Qualified revisions of
// later eras are higher than all of earlier ones.
func QualifiedRevision(era, revision int64) int64 {
	if revision == 0 {
		return 0
	}
	return era<<eraBits | revision
}

// EraOf returns the era of a qualified revision.
func EraOf(qualified int64) int64 { return qualified >> eraBits }

// WithinEra returns the store's own number of a qualified revision.
func WithinEra(qualified int64) int64 { return qualified & (1<<eraBits - 1) }
