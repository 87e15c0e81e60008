// Package examples holds the sample files of both users, for the dev command
// and for tests.
package examples

import (
	"embed"
	"io/fs"
	"path"

	"github.com/rotisserie/eris"

	"github.com/plankridge/plankridge/internal/config"
)

//go:embed ndiaye/*.yaml amakusa/*.yaml
var files embed.FS

// Names are the samples.
var Names = []string{"ndiaye", "amakusa"}

// Files returns the files of a sample.
func Files(name string) ([]config.File, error) {
	entries, err := fs.ReadDir(files, name)
	if err != nil {
		return nil, eris.Errorf("no sample is called %q; there are %v", name, Names)
	}
	var sample []config.File
	for _, entry := range entries {
		full := path.Join(name, entry.Name())
		content, err := files.ReadFile(full)
		if err != nil {
			return nil, eris.Wrap(err, "read sample")
		}
		sample = append(sample, config.File{Name: "examples/" + full, Content: content})
	}
	return sample, nil
}

// SampleKey returns the bearer key of a workspace of the samples. Such keys
// are public and must not be used anywhere else.
func SampleKey(workspace string) string {
	return "sample-key-of-" + workspace
}
