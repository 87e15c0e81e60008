package onplatform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/platform/fake"
)

// oddServer returns an entry of a server that is not there, with one field replaced.
func oddServer(service, field string, value any) string {
	entry := map[string]any{
		"service": service, "address": "10.2.9.250:80", "zone": "zone-1", "version": "v1", "slots": 6, "state": "ready", "seq": 1, "coldLeftMs": 0,
	}
	entry[field] = value
	raw, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	return string(raw)
}

// oddServers returns entries with odd values, by field.
func oddServers(service string) map[string][]string {
	odd := map[string][]string{}
	add := func(field, text string) { odd[field] = append(odd[field], text) }
	for _, number := range []string{"0", "-1", "1e300", "-1e300", "1e400", "9007199254740992", "9007199254740993", "9223372036854775807", "9223372036854775808", "4294967296", "6.5", "1e-300"} {
		for _, field := range []string{"slots", "seq", "born", "coldLeftMs", "leaves_ms"} {
			add(field, oddServer(service, field, json.RawMessage(number)))
		}
	}
	for _, address := range []string{
		"10.2.9.250:0", "10.2.9.250:-1", "10.2.9.250:65536", "10.2.9.250:70000", "0.0.0.0:80", "[::]:80", "224.0.0.1:80", "[ff02::1]:80", "255.255.255.255:80",
		"[fe80::1%eth0]:80", "[2001:db8::1]:80", "10.1.0.1:80", "10.1.0.1:82", "[::ffff:10.2.9.250]:80", ":80", "10.2.9.250", "10.2.9.250:80:80", " 10.2.9.250:80",
		"[fe80::1%a\r\nX-Odd: 1]:80",
	} {
		add("address", oddServer(service, "address", address))
	}
	for _, slots := range []int{1<<20 + 1, 1<<53 - 1} {
		add("slots", strings.Replace(oddServer(service, "slots", slots), `"v1"`, `"v9"`, 1))
	}
	for _, field := range []string{"service", "version", "zone"} {
		add(field, oddServer(service, field, strings.Repeat("x", 100_000)))
		add(field, oddServer(service, field, "a\x00\n\r\x1b[31m|=\u2028\ufffd"))
		add(field, strings.Replace(oddServer(service, field, "HERE"), "HERE", "a\xff\xfe", 1))
		add(field, strings.Replace(oddServer(service, field, "HERE"), "HERE", `a\ud800`, 1))
	}
	return odd
}

// twoServices lists three sound servers of each service.
func twoServices(b *bed) {
	b.store.SetPageSize(500)
	for i := range 3 {
		b.addServer(fmt.Sprintf("m-%d", i), model, &fake.Server{EventCount: 4, Version: "v1"})
		b.addServer(fmt.Sprintf("i-%d", i), plain, &fake.Server{})
	}
	b.configure(routes{plainRoute("/a/", "idempotent", 2), streamRoute("/s/", true, 2)}, limited(100_000, 100_000))
}

// refusals sends requests to both services through all daemons, and returns what was not served.
func (b *bed) refusals(rounds int) (refused []string) {
	for range rounds {
		for i := range b.daemons {
			if r := b.send(call{method: "GET", path: "/a/x", key: testKey, to: i}); r.status != 200 {
				refused = append(refused, fmt.Sprintf("request: %d %v %s", r.status, r.err, r.body))
			}
			if r := b.send(streamCall(i, nil)); r.status != 200 || r.cut {
				refused = append(refused, fmt.Sprintf("stream: %d %v %s", r.status, r.err, r.body))
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return refused
}

// TestOddServerEntryHidesNoServer guards against entries of another writer that take requests from the servers that are there.
func TestOddServerEntryHidesNoServer(t *testing.T) {
	for _, service := range []string{plain, model} {
		for field, texts := range oddServers(service) {
			t.Run(service+", "+field, func(t *testing.T) {
				run(t, 3, twoServices, func(b *bed) {
					b.Check(b.refusals(5), qt.HasLen, 0)
					for i, text := range texts {
						b.store.PutRaw("servers", fmt.Sprintf("x-%d", i), text)
					}
					time.Sleep(time.Second)
					b.Check(b.refusals(20), qt.HasLen, 0)
					for i := range texts {
						b.store.Remove("servers", fmt.Sprintf("x-%d", i))
					}
					time.Sleep(3 * time.Second)
					b.Check(b.refusals(5), qt.HasLen, 0)
				})
			})
		}
	}
}

// TestOddServerEntryIsReplacedByASoundOne guards against an entry that another writer left in the place of a server and that the server's own entries do not replace.
func TestOddServerEntryIsReplacedByASoundOne(t *testing.T) {
	prefixes := map[string]string{plain: "i", model: "m"}
	for service, prefix := range prefixes {
		for field, texts := range oddServers(service) {
			t.Run(service+", "+field, func(t *testing.T) {
				var served *fake.Server
				run(t, 3, func(b *bed) {
					twoServices(b)
					served = b.addServer("s-1", service, &fake.Server{EventCount: 4, Version: "v1"})
				}, func(b *bed) {
					b.listBorn("s-1", service, "ready", time.Now().UnixMilli(), 9)
					for i, text := range texts {
						time.Sleep(time.Second)
						b.store.PutRaw("servers", "s-1", text)
						time.Sleep(time.Second)
						b.listBorn("s-1", service, "ready", time.Now().UnixMilli(), int64(10+i))
					}
					for i := range 3 {
						b.store.Remove("servers", fmt.Sprintf("%s-%d", prefix, i))
					}
					time.Sleep(10 * time.Second)
					b.Check(b.refusals(10), qt.HasLen, 0)
					b.Check(len(served.Arrivals()) >= 30, qt.IsTrue)
				})
			})
		}
	}
}

// TestEntryAtADaemonsAddressGetsNoRequests guards against requests that a daemon sends to itself, again and again, and counts each time.
func TestEntryAtADaemonsAddressGetsNoRequests(t *testing.T) {
	run(t, 1, func(b *bed) {
		b.store.PutRaw("servers", "x-9", oddServer(plain, "address", "10.1.0.1:80"))
		route := plainRoute("/a/", "idempotent", 2)
		route["public"] = true
		b.configure(routes{route})
	}, func(b *bed) {
		for range 5 {
			b.Check(b.send(call{method: "GET", path: "/a/x", key: testKey}).status, qt.Equals, http.StatusServiceUnavailable)
		}
		b.Check(b.callCount(b.daemons[0]), qt.Equals, 5)
	})
}

// callCount returns the number of calls that a daemon has handled.
func (b *bed) callCount(d *daemon) (count int) {
	for _, found := range regexp.MustCompile(`plankridge_calls_total\{.*\} (\d+)`).FindAllStringSubmatch(b.metrics(d), -1) {
		calls, err := strconv.Atoi(found[1])
		b.Assert(err, qt.IsNil)
		count += calls
	}
	return count
}
