package onplatform

import (
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/platform/fake"
)

// metrics returns what a daemon's metrics address serves.
func (b *bed) metrics(d *daemon) string {
	resp, err := b.http.Get("http://" + d.ip + ":83/metrics")
	b.Assert(err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	b.Assert(err, qt.IsNil)
	return string(raw)
}

// TestMetricsTellWhatADaemonBelieves: version in force, servers, daemons and roles.
func TestMetricsTellWhatADaemonBelieves(t *testing.T) {
	run(t, 4, func(b *bed) {
		b.store.SetOutageFor("10.1.0.3", fake.OutageBusy)
		twoKeys(b)
	}, func(b *bed) {
		first, refused := b.metrics(b.daemons[0]), b.metrics(b.daemons[2])
		for _, line := range []string{
			"plankridge_config_version 4", `plankridge_servers{service="desk",state="ready"} 1`, "plankridge_store_failing 0",
			`plankridge_daemons{state="heard"} 4`, `plankridge_daemons{state="known"} 4`,
			`plankridge_role{role="lead"} 1`, `plankridge_role{role="follows_store"} 1`,
		} {
			b.Check(strings.Contains(first, line+"\n"), qt.IsTrue, qt.Commentf("%s", line))
		}
		b.Check(strings.Contains(refused, "plankridge_store_failing 1\n"), qt.IsTrue)
		b.Check(strings.Contains(refused, "plankridge_config_version 4\n"), qt.IsTrue, qt.Commentf("told by a peer"))
	})
}
