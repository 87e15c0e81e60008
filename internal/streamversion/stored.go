package streamversion

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// maxSerial is the highest serial of a stored assignment, so that later ones can be higher.
const maxSerial = int64(1) << 40

// errInvalid means that a stored assignment cannot be used.
var errInvalid = errors.New("assignment of streams to versions is invalid")

// Decode decodes a stored assignment. Unexpected writers can write anything.
func Decode(raw []byte) (*Assignment, error) {
	a := &Assignment{}
	if err := json.Unmarshal(raw, a); err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalid, err)
	}
	if a.Serial < 1 || a.Serial > maxSerial {
		return nil, fmt.Errorf("%w: serial %d", errInvalid, a.Serial)
	}
	for name, service := range a.Services {
		if err := service.validate(); err != nil {
			return nil, fmt.Errorf("%w: service %s", err, name)
		}
	}
	return a, nil
}

// validate checks the buckets of a service. Servers may be of the empty version, but all of them then.
func (s Service) validate() error {
	if len(s.Buckets) != BucketCount {
		return fmt.Errorf("%w: %d buckets", errInvalid, len(s.Buckets))
	}
	unnamed := 0
	for _, b := range s.Buckets {
		if b.Version == "" {
			unnamed++
		}
	}
	if unnamed != 0 && unnamed != BucketCount {
		return fmt.Errorf("%w: %d buckets without version", errInvalid, unnamed)
	}
	return nil
}

// nextSerial returns the serial of the assignment that follows. After a loss it is higher than those of
// all earlier assignments, which a daemon that could not be reached may still have: there are fewer than
// one a second.
func (a *Assignment) nextSerial(now time.Time) int64 {
	if a.Lost {
		return max(a.Serial+1, now.Unix())
	}
	return a.Serial + 1
}
