package config

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/plankridge/plankridge/internal/finding"
	"github.com/plankridge/plankridge/internal/strictyaml"
)

// File is the name and content of one file that operators apply.
type File struct {
	Name    string `json:"name"`
	Content []byte `json:"content"`
}

// ReadFiles reads the given files. For a folder it reads the .yaml and .yml files
// in it.
func ReadFiles(paths []string) ([]File, error) {
	var files []File
	for _, path := range paths {
		names, err := expandPath(path)
		if err != nil {
			return nil, err
		}
		for _, name := range names {
			content, err := os.ReadFile(name)
			if err != nil {
				return nil, eris.Wrap(err, "read file to apply")
			}
			files = append(files, File{Name: name, Content: content})
		}
	}
	return files, nil
}

func expandPath(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, eris.Wrap(err, "read file to apply")
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	var names []string
	for _, pattern := range []string{"*.yaml", "*.yml"} {
		matches, err := filepath.Glob(filepath.Join(path, pattern))
		if err != nil {
			return nil, eris.Wrap(err, "list files of folder to apply")
		}
		names = append(names, matches...)
	}
	if len(names) == 0 {
		return nil, eris.Errorf("folder %s contains no .yaml or .yml file", path)
	}
	slices.Sort(names)
	return names, nil
}

// placeFunc returns the position of a field within an item, given the path of the
// field relative to the item. The empty path means the item itself.
type placeFunc func(suffix string) finding.Place

// located is an item of a section together with its position.
type located[T any] struct {
	item  *T
	place placeFunc
}

// mergedDeployment is the deployment merged from all files, with the position of
// each item.
type mergedDeployment struct {
	deployment      Deployment
	zonePlaces      []placeFunc
	vmClassPlaces   []placeFunc
	servicePlaces   []placeFunc
	workspacePlaces []placeFunc
	routePlaces     []placeFunc
}

// Load decodes the files and validates them as one deployment. The error is a
// *finding.Error with all mistakes in all files.
func Load(files []File) (*Deployment, error) {
	var findings finding.List
	merged := &mergedDeployment{}
	for _, file := range files {
		var part Deployment
		source := strictyaml.Decode(file.Name, file.Content, &part, &findings)
		merged.add(part, source)
	}
	merged.deployment.applyDefaults()
	merged.check(&findings)
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return &merged.deployment, nil
}

func (m *mergedDeployment) add(part Deployment, source *strictyaml.Source) {
	d := &m.deployment
	d.Zones = appendLocated(d.Zones, part.Zones, &m.zonePlaces, source, "zones")
	d.VMClasses = appendLocated(d.VMClasses, part.VMClasses, &m.vmClassPlaces, source, "vm_classes")
	d.Services = appendLocated(d.Services, part.Services, &m.servicePlaces, source, "services")
	d.Workspaces = appendLocated(d.Workspaces, part.Workspaces, &m.workspacePlaces, source, "workspaces")
	d.Routes = appendLocated(d.Routes, part.Routes, &m.routePlaces, source, "routes")
}

// appendLocated appends the items of one file's section to all, and their positions to
// places.
func appendLocated[T any](all, part []T, places *[]placeFunc, source *strictyaml.Source, section string) []T {
	for i := range part {
		path := fmt.Sprintf("%s[%d]", section, i)
		*places = append(*places, func(suffix string) finding.Place {
			if suffix == "" {
				return source.Place(path)
			}
			return source.Place(path + "." + suffix)
		})
	}
	return append(all, part...)
}

// withPlaces combines each item with its position.
func withPlaces[T any](items []T, places []placeFunc) []located[T] {
	pairs := make([]located[T], len(items))
	for i := range items {
		pairs[i] = located[T]{item: &items[i], place: places[i]}
	}
	return pairs
}
