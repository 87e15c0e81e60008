package capacity

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/plankridge/plankridge/internal/gossip/gossippb"
)

// gossipSize is a deployment as far as it decides the size of a report.
type gossipSize struct {
	name       string
	workspaces int
	// busy is the number of backend servers at which a daemon has something in
	// flight.
	busy int
}

var gossipSizes = []gossipSize{{"today", 5, 8}, {"grown", 16, 20}, {"plan", 60, 40}}

// report is a full report of one daemon, without the names of others.
func report(size gossipSize) *gossippb.Status {
	s := &gossippb.Status{
		Vm: "front-hall-nord-1", Zone: "hall-nord", Address: "10.1.0.14:8229", Incarnation: 1 << 60, Sequence: 1 << 20,
		ConfigVersion: 4000, ServersRevision: 1 << 20, ServersDigest: 1 << 60, Fence: 1 << 20, UptimeMs: 1 << 30,
		Own: &gossippb.Counts{},
	}
	counts := map[string]int64{}
	for i := range size.workspaces {
		name := fmt.Sprintf("hule%03d", i)
		counts[name] = 400
		s.Own.Spent = append(s.Own.Spent, &gossippb.Spent{Workspace: name, Tokens: 1e7, Refused: 1e5})
	}
	for id := range 3 {
		s.Own.Windows = append(s.Own.Windows, &gossippb.Window{Id: 353445120 + int64(id), Counts: counts})
	}
	for i := range size.busy {
		s.Own.Loads = append(s.Own.Loads, &gossippb.Load{Key: uint32(i) << 8, Running: 9, PendingTokens: 9000})
	}
	for i := range 2 {
		s.Own.Demands = append(s.Own.Demands, &gossippb.Demand{Service: fmt.Sprintf("huvo%02da", i), Reading: 9, Places: 9, Memory: 9})
		s.Own.Paces = append(s.Own.Paces, &gossippb.Pace{
			Service: fmt.Sprintf("huvo%02da", i), First: figures(5), Step: figures(2), Made: figures(1),
		})
	}
	return s
}

// figures are learned figures as they are told.
func figures(count int) *gossippb.Figures {
	return &gossippb.Figures{Coefficients: make([]float64, count), Seen: 1000}
}

// BenchmarkGossipReport measures the size of a report and the time to write and
// read one.
func BenchmarkGossipReport(b *testing.B) {
	for _, size := range gossipSizes {
		b.Run(size.name, func(b *testing.B) {
			s := report(size)
			raw, err := proto.Marshal(s)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if raw, err = proto.Marshal(s); err != nil {
					b.Fatal(err)
				}
				var back gossippb.Status
				if err := proto.Unmarshal(raw, &back); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(raw)), "bytes/report")
		})
	}
}
