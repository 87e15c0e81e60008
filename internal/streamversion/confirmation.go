package streamversion

import "time"

const (
	// ConfirmationBound is how long an assignment may be used to resume streams after the last time
	// at which it was known to be the newest one. It covers the time between two reads of the store and the
	// reports from there to a daemon in another zone, some of which are lost.
	ConfirmationBound = 2500 * time.Millisecond
	// expiryMargin covers differences between the rates of the clocks of VMs.
	expiryMargin = 200 * time.Millisecond
)

// Confirmation is the latest time at which a daemon knows its assignment to have been the newest one.
// A daemon that was paused or cut off has an old one. Times are those of a clock that does not stop
// while the process or the VM is suspended.
type Confirmation struct {
	serial int64
	at     time.Time
}

// Observe records that the newest assignment had a serial at a time. A later assignment was written
// after its predecessor was the newest one, so the time of that also holds for it.
func (c *Confirmation) Observe(serial int64, at time.Time) {
	if serial < c.serial {
		return
	}
	c.serial = serial
	if at.After(c.at) {
		c.at = at
	}
}

// Age returns how long ago the assignment of a serial was known to be the newest one, and false if it
// never was.
func (c Confirmation) Age(serial int64, now time.Time) (time.Duration, bool) {
	if c.serial != serial || c.at.IsZero() {
		return 0, false
	}
	return max(0, now.Sub(c.at)), true
}

// Valid reports whether streams may be resumed as the assignment of a serial says.
func (c Confirmation) Valid(serial int64, now time.Time) bool {
	age, known := c.Age(serial, now)
	return known && age <= ConfirmationBound
}

// Progress is how far an assignment has spread.
type Progress int

const (
	// Spreading means that some daemons may still use an earlier assignment.
	Spreading Progress = iota
	// Expired means that no daemon resumes streams as an earlier assignment says. Some that cannot be
	// reached may still begin streams as one says.
	Expired
	// AdoptedByAll means that all daemons of the deployment have adopted the assignment.
	AdoptedByAll
)

// ProgressOf returns how far an assignment has spread that was first known to be the newest one at a
// time.
func ProgressOf(adoptedByAll bool, since, now time.Time) Progress {
	switch {
	case adoptedByAll:
		return AdoptedByAll
	case !since.IsZero() && now.Sub(since) >= ConfirmationBound+expiryMargin:
		return Expired
	}
	return Spreading
}
