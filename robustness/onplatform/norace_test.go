//go:build !race

package onplatform

const raceDetector = false
