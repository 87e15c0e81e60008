package request

import "flag"

// Randomised tests take a fixed seed unless the command line gives another.
func init() { _ = flag.Set("rapid.seed", "1") }
