package demo

import (
	"io/fs"
	"net"
	"net/http"

	"github.com/pkg/errors"

	"cherrykeel/examples"
	"cherrykeel/fakes"
	"cherrykeel/tree"
)

// world holds the stand-ins and the trees with their addresses.
type world struct {
	log       string
	hosts     string
	nodes     tree.Nodes
	upstreams map[string]*fakes.Upstream
	servers   []*http.Server
}

func newWorld() (*world, error) {
	world := &world{nodes: tree.Nodes{}, upstreams: map[string]*fakes.Upstream{}}
	err := world.start()
	if err != nil {
		world.close()
		return nil, err
	}
	return world, nil
}

func (world *world) start() error {
	var err error
	world.log, err = world.serve(fakes.NewLog())
	if err != nil {
		return err
	}
	world.hosts, err = world.serve(fakes.NewHosts())
	if err != nil {
		return err
	}
	for _, name := range []string{"hanbit", "huon"} {
		err := world.load(name)
		if err != nil {
			return err
		}
	}
	return nil
}

// load reads an example tree and starts its upstreams, on addresses of their own.
func (world *world) load(name string) error {
	files, err := fs.Sub(examples.Trees, name)
	if err != nil {
		return errors.WithStack(err)
	}
	nodes, err := tree.LoadFS(files, name)
	if err != nil {
		return err
	}
	for path, node := range nodes {
		world.nodes[path] = node
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
			upstream := fakes.NewUpstream(options)
			address, err := world.serve(upstream)
			if err != nil {
				return err
			}
			world.upstreams[server.Name] = upstream
			list[i].(map[string]any)["Address"] = address
		}
	}
	return nil
}

func (world *world) serve(handler http.Handler) (string, error) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.WithStack(err)
	}
	server := &http.Server{Handler: handler}
	world.servers = append(world.servers, server)
	go func() { _ = server.Serve(socket) }()
	return socket.Addr().String(), nil
}

func (world *world) close() {
	for _, server := range world.servers {
		_ = server.Close()
	}
}
