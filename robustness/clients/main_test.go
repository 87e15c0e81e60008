// Package clients plays clients that stay outside the limits, or that hold whatever a daemon lets them hold,
// against real processes. The tests measure memory, so they run one at a time and apart from other load:
//
//	go test ./robustness/clients -clients.alone
package clients

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

var alone = flag.Bool("clients.alone", false, "run the tests, which must have the machine to themselves")

// program is the program under test.
var program string

func TestMain(m *testing.M) {
	flag.Parse()
	if !*alone {
		fmt.Println("robustness/clients runs alone, with -clients.alone; see .ci/run")
		return
	}
	os.Exit(build(m))
}

func build(m *testing.M) int {
	folder, err := os.MkdirTemp("", "clients")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	program = filepath.Join(folder, "plankridge")
	if out, err := exec.Command("go", "build", "-o", program, "../../cmd/plankridge").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v: %s\n", err, out)
		return 1
	}
	return m.Run()
}
