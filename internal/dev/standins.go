package dev

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/plankridge/plankridge/internal/cloud"
	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/standin/fleet"
	"github.com/plankridge/plankridge/internal/standin/modelengine"
	"github.com/plankridge/plankridge/internal/standin/plainservice"
	"github.com/plankridge/plankridge/internal/standin/weightstore"
	"github.com/plankridge/plankridge/internal/vmlist"
	"github.com/plankridge/plankridge/platform/fake"
)

// Parameters of the stand-ins. They are round assumptions and do not represent a
// particular real system.
const (
	engineCacheBlocks         = 4096
	engineReportLag           = 500 * time.Millisecond
	simulatedPlainWork        = 8 * time.Millisecond
	artifactBytes             = 24 << 30
	weightStoreBytesPerSecond = 2 << 30
)

// StandIns holds the stand-ins for all external systems, each on a host of its own.
type StandIns struct {
	Store   *fake.Store
	Fleet   *fleet.Fleet
	Weights *weightstore.Server
	// Ledgers holds a ledger for each plain service, by service name. It counts the
	// runs of each reference.
	Ledgers map[string]*plainservice.Ledger

	ObjectsURL string
	VMsURL     string
	CloudURL   string
	WeightsURL string

	deployment *config.Deployment
	options    Options
	servers    []*http.Server

	mu           sync.Mutex
	engines      map[string]*modelengine.Server
	plainServers []*plainservice.Server
}

// EnginesByVM returns the model engines started so far by the IDs of their VMs.
func (s *StandIns) EnginesByVM() map[string]*modelengine.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.engines)
}

// Engines returns the model engines started so far.
func (s *StandIns) Engines() []*modelengine.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.engines))
}

// Engine returns the model engine on a VM, or nil if there is none.
func (s *StandIns) Engine(vm string) *modelengine.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engines[vm]
}

// PlainServers returns the plain service servers started so far.
func (s *StandIns) PlainServers() []*plainservice.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.plainServers)
}

// StartStandIns starts the stand-ins and the backend servers of a deployment.
func StartStandIns(deployment *config.Deployment, options Options) (*StandIns, error) {
	s := &StandIns{
		options:    options,
		Store:      fake.NewStore(),
		Weights:    weightstore.New(artifactBytes, weightStoreBytesPerSecond),
		Ledgers:    map[string]*plainservice.Ledger{},
		engines:    map[string]*modelengine.Server{},
		deployment: deployment,
	}
	s.Fleet = fleet.New(s.launchBackend)
	for _, service := range deployment.Services {
		if service.Kind == config.KindPlain {
			s.Ledgers[service.Name] = plainservice.NewLedger()
		}
	}
	endpoints := []struct {
		handler http.Handler
		url     *string
	}{
		{s.Store, &s.ObjectsURL},
		{s.Fleet.ListHandler(), &s.VMsURL},
		{s.Fleet.CloudHandler(), &s.CloudURL},
		{s.Weights, &s.WeightsURL},
	}
	for _, endpoint := range endpoints {
		address, server, err := serveStandIn(options.Hosts.NewHost(), endpoint.handler)
		if err != nil {
			s.Close()
			return nil, err
		}
		s.servers = append(s.servers, server)
		*endpoint.url = "http://" + address
	}
	if err := s.startRunners(); err != nil {
		s.Close()
		return nil, err
	}
	s.Fleet.SetLag(options.ListLag)
	return s, nil
}

// standInPort is the port of a stand-in on a VM with its own IP address.
const standInPort = 8000

func serveStandIn(host Host, handler http.Handler) (string, *http.Server, error) {
	listener, err := host.Network.Listen(host.Address(standInPort))
	if err != nil {
		return "", nil, eris.Wrap(err, "listen for stand-in")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), server, nil
}

// startRunners starts the backend servers of the deployment's runner pools.
func (s *StandIns) startRunners() error {
	for _, service := range s.deployment.Services {
		for p, pool := range service.Runners {
			for i := range pool.Count {
				_, err := s.Fleet.Start(cloud.StartOrder{
					OrderID: fmt.Sprintf("dev-%s-%d-%d", service.Name, p, i),
					Zone:    pool.Zone,
					Class:   pool.Class,
					Market:  pool.Market,
					Service: service.Name,
				})
				if err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// launchBackend starts the HTTP server of a backend VM and returns its address and a
// function that stops it.
func (s *StandIns) launchBackend(vm vmlist.VM) (string, func(), error) {
	handler, err := s.backendHandler(vm)
	if err != nil {
		return "", nil, err
	}
	if s.options.CrashesOn != nil {
		handler = s.crashOn(vm, handler)
	}
	address, server, err := serveStandIn(s.options.Hosts.NewHost(), handler)
	if err != nil {
		return "", nil, err
	}
	return address, func() { _ = server.Close() }, nil
}

const (
	// crashDelay is how long a server runs a request before the request crashes it.
	// replacementBootTime is the time until a replacement server starts.
	crashDelay          = 60 * time.Millisecond
	replacementBootTime = 2 * time.Second
)

// crashOn wraps a server's handler so that requests selected by CrashesOn crash the
// server.
func (s *StandIns) crashOn(vm vmlist.VM, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if !s.options.CrashesOn(vm.Service, body) {
			next.ServeHTTP(w, r)
			return
		}
		time.Sleep(crashDelay)
		if s.options.CrashText != "" {
			s.writeAndCrash(w, vm)
			return
		}
		go s.replaceServer(vm)
		panic(http.ErrAbortHandler)
	})
}

// writeAndCrash begins an answer that ends with its connection, and crashes the server.
func (s *StandIns) writeAndCrash(w http.ResponseWriter, vm vmlist.VM) {
	conn, out, err := http.NewResponseController(w).Hijack()
	if err != nil {
		s.options.Logger.Error("cannot take a connection over", "server", vm.ID, "error", err)
		return
	}
	_, _ = out.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + s.options.CrashText)
	_ = out.Flush()
	s.Fleet.Kill(vm.ID)
	_ = conn.Close()
	go s.replaceServer(vm)
}

// replaceServer kills a server and starts a replacement after replacementBootTime.
func (s *StandIns) replaceServer(vm vmlist.VM) {
	s.Fleet.Kill(vm.ID)
	time.Sleep(replacementBootTime)
	order := cloud.StartOrder{OrderID: "instead-of-" + vm.ID, Zone: vm.Zone, Class: vm.Class, Market: config.Market(vm.Market), Service: vm.Service}
	if _, err := s.Fleet.Start(order); err != nil {
		s.options.Logger.Error("cannot start replacement for crashed server", "server", vm.ID, "error", err)
	}
}

func (s *StandIns) backendHandler(vm vmlist.VM) (http.Handler, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, service := range s.deployment.Services {
		if service.Name != vm.Service {
			continue
		}
		if service.Kind == config.KindPlain {
			server := plainservice.New(s.Ledgers[vm.Service], s.plainWorkDuration())
			s.plainServers = append(s.plainServers, server)
			return server, nil
		}
		engine := EngineConfig(&service)
		if s.options.BenchmarkMode {
			engine.DecodeInterval = 0
		}
		server := modelengine.New(engine)
		s.engines[vm.ID] = server
		return server, nil
	}
	return nil, eris.Errorf("no service is called %q", vm.Service)
}

func (s *StandIns) plainWorkDuration() time.Duration {
	if s.options.BenchmarkMode {
		return 0
	}
	return simulatedPlainWork
}

// EngineConfig returns the configuration of the stand-in engine for a model service.
func EngineConfig(service *config.Service) modelengine.Config {
	return modelengine.Config{
		PrefillRate:    service.Model.PrefillRate,
		DecodeInterval: service.Model.DecodeInterval.Std(),
		MaxBatch:       service.Model.MaxBatch,
		CacheBlocks:    engineCacheBlocks,
		ChecksFence:    service.Fencing == config.FencingChecked,
		ReportLag:      engineReportLag,
	}
}

// Settings returns the settings for a daemon of the deployment.
func (s *StandIns) Settings(id, zone string, host Host) config.Settings {
	settings := config.DefaultSettings()
	settings.Daemon = config.DaemonIdentity{ID: id, Zone: zone}
	settings.Listen = config.Listen{
		Callers:   host.Address(callerPort),
		Peers:     host.Address(peerPort),
		Operators: host.Address(operatorPort),
	}
	settings.Platform = config.PlatformSettings{Objects: s.ObjectsURL, VMs: s.VMsURL, Cloud: s.CloudURL}
	settings.Peers.Plaintext = true
	return settings
}

// Close stops all stand-ins and backend servers.
func (s *StandIns) Close() {
	s.Fleet.KillAll()
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// Deployment returns the deployment for which the stand-ins were started.
func (s *StandIns) Deployment() *config.Deployment { return s.deployment }
