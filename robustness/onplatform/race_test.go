//go:build race

package onplatform

// raceDetector is set where the race detector watches, whose runtime breaks off under many
// daemons that are asked all the while.
const raceDetector = true
