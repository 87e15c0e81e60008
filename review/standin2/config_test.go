//go:build review2

package standin2

import "strings"

// route is a route of the configuration.
type route struct {
	prefix, kind, service string
	attempts              int
	timeoutMs, targetMs   int
	resume                bool
}

// Services of the deployment.
const (
	modelService = "modele-devis"
	plainService = "app-carriere"
)

// configure writes a version of the configuration and records its ack.
func (s *scene) configure(version int, keys []string, routes ...route) {
	var listed []map[string]any
	for _, r := range routes {
		listed = append(listed, map[string]any{
			"name": "r-" + strings.Trim(r.prefix, "/"), "host": host, "pathPrefix": r.prefix, "kind": r.kind, "timeoutMs": r.timeoutMs, "targetLatencyMs": r.targetMs,
			"priority": 1, "service": r.service, "maxAttempts": r.attempts, "public": false, "sticky": r.kind == "streaming", "streamResume": r.resume, "gapAimMs": 500,
		})
	}
	s.store.Put("config", "main", map[string]any{
		"version": version,
		"routes":  listed,
		"tenants": []map[string]any{{"name": tenant, "apiKeys": keys, "priority": 1, "unit": "token_stream", "plainTokens": 200, "ratePerS": 0, "burst": 0}},
		"services": []map[string]any{
			{"name": plainService, "healthPath": "/healthz", "maxConns": 96, "protocol": "h1", "tls": false},
			{"name": modelService, "healthPath": "/healthz", "maxConns": 610, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 128, "kvCapacityTokens": 264479, "kvTokenBytes": 131072, "linkMbps": 130000, "moves": true, "backups": true, "stride": 3, "handleS": 5.0, "models": []map[string]any{{"name": "m"}},
			}},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	s.record("the store has accepted version %d of the configuration", version)
}
