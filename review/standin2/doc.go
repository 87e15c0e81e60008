// Package standin2 holds the stand-ins of the second review's scripts: the platform's store and cloud,
// backend servers and clients, all on loopback addresses. They are test files behind the build
// tag review2, which keeps them out of the default test run; review/build-2.sh builds them into one program.
package standin2
