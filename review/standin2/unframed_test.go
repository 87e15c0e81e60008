//go:build review2

package standin2

import (
	"net/http"

	"github.com/plankridge/plankridge/platform/fake"
)

// newUnframed returns a writer of an answer without a length, which ends with its channel.
func newUnframed(w http.ResponseWriter) interface {
	http.ResponseWriter
	Close()
} {
	return fake.NewConnectionEnded(w)
}
