// Package soak runs the real program as separate processes on one machine, on the
// platform's stand-ins, and breaks things around them at random: links through a
// loopback proxy, processes through signals, the store, the cloud and the servers
// through their switches. What callers and backend servers saw is checked against
// the promises. It has tests only; see docs/design/soak.md.
package soak
