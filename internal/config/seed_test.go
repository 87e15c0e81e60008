package config

import "flag"

// init fixes the seed of randomized tests. The command line can override it.
func init() { _ = flag.Set("rapid.seed", "1") }
