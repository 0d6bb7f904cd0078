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
	startTimeout      = 30 * time.Second
	ownerPollInterval = 100 * time.Millisecond
	platformTimeout   = 10 * time.Second
	// keyedServices is how many services of the example trees have keys.
	keyedServices = 2
)

// World holds the stand-ins of the outside systems, all in this process, and the example trees with their addresses.
type World struct {
	// Log and Hosts are http URLs.
	Log   string
	Hosts string
	Nodes tree.Nodes
	// Upstreams and Addresses are by name.
	Upstreams     map[string]*fakes.Upstream
	Addresses     map[string]string
	adjustOptions func(options *fakes.UpstreamOptions)
	log           *fakes.Log
	servers       []*http.Server
}

// NewWorld starts the stand-ins; adjust changes the options of each upstream.
func NewWorld(adjust func(options *fakes.UpstreamOptions)) (*World, error) {
	world := &World{
		Nodes:         tree.Nodes{},
		Upstreams:     map[string]*fakes.Upstream{},
		Addresses:     map[string]string{},
		adjustOptions: adjust,
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

// loadTree reads an example tree and starts its upstreams, on addresses of their own.
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
		list := node.Fields["Upstreams"].([]any)
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
			list[i].(map[string]any)["Address"] = address
		}
	}
	return nil
}

func (world *World) serve(handler http.Handler) (string, error) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.WithStack(err)
	}
	server := &http.Server{Handler: handler}
	world.servers = append(world.servers, server)
	go func() { _ = server.Serve(socket) }()
	return socket.Addr().String(), nil
}

// Appends returns how many records a stream of the log has been given.
func (world *World) Appends(stream string) int64 {
	return world.log.Appends(stream)
}

// Close stops the stand-ins.
func (world *World) Close() {
	for _, server := range world.servers {
		_ = server.Close()
	}
}

// Config returns the configuration of an entry host in this world, on addresses of its own.
func (world *World) Config(name, zone string) config.Config {
	entry := config.Default()
	entry.Name = name
	entry.Zone = zone
	entry.Listen, entry.Admin, entry.Inner = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	entry.Log, entry.Hosts = world.Log, world.Hosts
	entry.StopDelay.Duration = 0
	return entry
}

// Publish publishes the world's tree and waits until it is in force on every host.
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

// AwaitOwners waits until every partition of the keyed services has an owner, by the word of the hosts given.
func AwaitOwners(ctx context.Context, hosts ...*host.Host) error {
	limit := time.Now().Add(startTimeout)
	for ctx.Err() == nil && time.Now().Before(limit) {
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
