package config

import (
	"errors"
	"os"
	"testing"

	"github.com/plankridge/plankridge/internal/finding"
)

// FuzzLoad checks that any text is either valid or yields findings with places.
func FuzzLoad(f *testing.F) {
	for _, name := range []string{"../../examples/ndiaye/services.yaml", "../../testdata/five-mistakes.yaml"} {
		raw, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Add([]byte("a: &a [*a]"))
	f.Add([]byte("zones: !!map {<<: {name: a}}"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		_, err := Load([]File{{Name: "a.yaml", Content: raw}})
		var findings *finding.Error
		if err != nil && !errors.As(err, &findings) {
			t.Fatalf("error without findings: %v", err)
		}
		if findings == nil {
			return
		}
		for _, found := range findings.Findings {
			if found.Place.Line < 1 || found.Place.Column < 1 {
				t.Fatalf("finding without a place: %v", found)
			}
		}
	})
}
