package demo

import (
	"context"
	"io/fs"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"cherrykeel/config"
	"cherrykeel/examples"
	"cherrykeel/fakes"
	"cherrykeel/host"
	"cherrykeel/opctl"
	"cherrykeel/tree"
)

const (
	// startTimeout bounds the wait for settings in force on all hosts, and the wait for owners.
	startTimeout      = 30 * time.Second
	ownerPollInterval = 100 * time.Millisecond
	// platformTimeout bounds each wait for the log when settings are published.
	platformTimeout = 10 * time.Second
	// keyedServices is the number of keyed services in the example trees.
	keyedServices = 2
)

// World holds stand-ins for the external systems, all in this process, and the example trees with the stand-ins'
// addresses.
type World struct {
	// Log is the HTTP URL of the log.
	Log string
	// Hosts is the HTTP URL of the host list.
	Hosts string
	// Nodes holds both example trees.
	Nodes tree.Nodes
	// Upstreams holds the upstreams by name.
	Upstreams map[string]*fakes.Upstream
	// Addresses holds the upstreams' IP addresses and ports by name.
	Addresses     map[string]string
	adjustOptions func(options *fakes.UpstreamOptions)
	log           *fakes.Log
	servers       []*http.Server
}

// NewWorld starts the stand-ins. adjustOptions may change the options of each upstream before it starts.
func NewWorld(adjustOptions func(options *fakes.UpstreamOptions)) (*World, error) {
	world := &World{
		Nodes:         tree.Nodes{},
		Upstreams:     map[string]*fakes.Upstream{},
		Addresses:     map[string]string{},
		adjustOptions: adjustOptions,
	}
	err := world.start()
	if err != nil {
		world.Close()
		return nil, err
	}
	return world, nil
}

func (world *World) start() error {
	world.log = fakes.NewLog()
	log, err := world.serve(world.log)
	if err != nil {
		return err
	}
	world.Log = "http://" + log
	hosts, err := world.serve(fakes.NewHosts())
	if err != nil {
		return err
	}
	world.Hosts = "http://" + hosts
	for _, name := range []string{"hanbit", "huon"} {
		err := world.loadTree(name)
		if err != nil {
			return err
		}
	}
	return nil
}

// loadTree reads an example tree, starts its upstreams on free ports, and enters their addresses into the tree.
func (world *World) loadTree(name string) error {
	files, err := fs.Sub(examples.Trees, name)
	if err != nil {
		return errors.WithStack(err)
	}
	nodes, err := tree.LoadFS(files, name)
	if err != nil {
		return err
	}
	for path, node := range nodes {
		world.Nodes[path] = node
		if tree.LevelOf(path) != tree.LevelService {
			continue
		}
		service, err := tree.Resolve(nodes, path)
		if err != nil {
			return err
		}
		upstreams := node.Fields["Upstreams"].([]any)
		for i, server := range service.Upstreams {
			options := fakes.UpstreamOptions{Name: server.Name, Slots: service.Slots, QueueLength: service.Slots * 4, EnforceFences: true}
			world.adjustOptions(&options)
			upstream := fakes.NewUpstream(options)
			address, err := world.serve(upstream)
			if err != nil {
				return err
			}
			world.Upstreams[server.Name] = upstream
			world.Addresses[server.Name] = address
			upstreams[i].(map[string]any)["Address"] = address
		}
	}
	return nil
}

// serve starts an HTTP server on a free port and returns its address.
func (world *World) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.WithStack(err)
	}
	server := &http.Server{Handler: handler}
	world.servers = append(world.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// Appends returns the number of records that have been appended to a stream of the log.
func (world *World) Appends(stream string) int64 {
	return world.log.Appends(stream)
}

// Close stops the stand-ins.
func (world *World) Close() {
	for _, server := range world.servers {
		_ = server.Close()
	}
}

// Config returns the configuration of an entry host in this world that listens on free ports.
func (world *World) Config(name, zone string) config.Config {
	entry := config.Default()
	entry.Name = name
	entry.Zone = zone
	entry.Listen, entry.Admin, entry.Inner = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	entry.Log, entry.Hosts = world.Log, world.Hosts
	entry.StopDelay.Duration = 0
	return entry
}

// Publish publishes the world's trees and waits until they are in force on every host.
func (world *World) Publish(ctx context.Context) (opctl.Publication, error) {
	client := opctl.NewClient(world.Log, world.Hosts, platformTimeout)
	state, err := client.State(ctx)
	if err != nil {
		return opctl.Publication{}, err
	}
	plan, err := opctl.MakePlan(state, world.Nodes)
	if err != nil {
		return opctl.Publication{}, err
	}
	publication, err := client.Publish(ctx, plan, opctl.Author(), "demo")
	if err != nil {
		return publication, err
	}
	return publication, client.AwaitInForce(ctx, &publication, startTimeout)
}

// AwaitOwners waits until the keepers among the given hosts report that every partition of the keyed services has an owner
// and that the leases match the placement.
func AwaitOwners(ctx context.Context, hosts ...*host.Host) error {
	deadline := time.Now().Add(startTimeout)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		settled := map[string]bool{}
		for _, entry := range hosts {
			for _, service := range entry.Status().Services {
				if service.Report != nil && service.Report.Settled && service.Owned[""] == 0 && len(service.Owned) > 0 {
					settled[service.Service] = true
				}
			}
		}
		if len(settled) == keyedServices {
			return nil
		}
		time.Sleep(ownerPollInterval)
	}
	return errors.Errorf("the keyed services got no owners within %v", startTimeout)
}
