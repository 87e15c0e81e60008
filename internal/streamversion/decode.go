package streamversion

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// maxSerial bounds the serial of an assignment. Integers up to it are exact in JSON, and an assignment
// changes at most ten times a second, so a higher serial was not written by a daemon.
const maxSerial = 1 << 53

// DecodeStored is Decode for the object of the store, to which daemons write no assignment of serial zero.
func DecodeStored(raw []byte) (*Assignment, error) {
	a, err := Decode(raw)
	if err == nil && a.Serial == 0 {
		err = errors.New("assignment has no serial")
	}
	return a, err
}

// Decode decodes an assignment from the store or a peer. It returns an error for one that no daemon
// can have written.
func Decode(raw []byte) (*Assignment, error) {
	var a *Assignment
	if err := json.Unmarshal(raw, &a); err != nil {
		return nil, err
	}
	if a == nil {
		return nil, errors.New("assignment is null")
	}
	if a.Serial < 0 || a.Serial >= maxSerial {
		return nil, fmt.Errorf("serial %d is out of range", a.Serial)
	}
	for name, service := range a.Services {
		if err := service.validate(); err != nil {
			return nil, fmt.Errorf("service %q: %w", name, err)
		}
	}
	return a, nil
}

func (s Service) validate() error {
	if len(s.Buckets) != BucketCount {
		return fmt.Errorf("%d buckets instead of %d", len(s.Buckets), BucketCount)
	}
	for i, b := range s.Buckets {
		if b.Version == "" {
			return fmt.Errorf("bucket %d has no version", i)
		}
		for _, e := range b.Earlier {
			if e.UntilMs < 0 {
				return fmt.Errorf("bucket %d has an earlier version until %d", i, e.UntilMs)
			}
		}
	}
	return nil
}

// Lost returns the assignment that replaces one which cannot be used. Streams that have begun before are
// ambiguous.
func Lost() *Assignment { return &Assignment{Lost: true} }

// nextSerial returns the serial of the assignment that follows. After a loss it is higher than those of
// all earlier assignments, which a daemon that could not be reached may still have: there are fewer than
// one a second.
func (a *Assignment) nextSerial(now time.Time) int64 {
	if a.Lost {
		return max(a.Serial+1, now.Unix())
	}
	return a.Serial + 1
}
