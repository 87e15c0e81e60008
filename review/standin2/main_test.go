//go:build review2

package standin2

import (
	"fmt"
	"os"
	"testing"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the scripts by the number of their folder.
var cases = map[string]func(*scene){}

// TestMain runs one case, or the one stand-in that a case starts as a process of its own.
func TestMain(*testing.M) {
	if len(os.Args) > 2 && os.Args[1] == "runner" {
		serveRunner(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}
