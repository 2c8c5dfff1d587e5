// Package launcher runs a whole deployment in one process on loopback, with the
// emulated store and upstreams of packages storer and worker. The demo and the tests
// use it.
package launcher

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/pomeloferry/pomeloferry/agent"
	"github.com/pomeloferry/pomeloferry/approver"
	"github.com/pomeloferry/pomeloferry/keeper"
	"github.com/pomeloferry/pomeloferry/limiter"
	"github.com/pomeloferry/pomeloferry/provider"
	"github.com/pomeloferry/pomeloferry/publisher"
	"github.com/pomeloferry/pomeloferry/receiver"
	"github.com/pomeloferry/pomeloferry/storer"
	"github.com/pomeloferry/pomeloferry/worker"
)

const (
	loopback  = "127.0.0.1:0"
	storeName = "store"
	// headerTimeout bounds the time to read the head of a request.
	headerTimeout = 5 * time.Second
)

// ApproverName is the name of the approver of a launched deployment's bundles.
const ApproverName = "approver"

// Config describes a deployment to launch.
type Config struct {
	Entries int
	Workers int
	// Slots and Connections are those of each worker.
	Slots       int
	Connections int
	DataCentres []string
	Service     string
	Bundle      approver.Bundle
}

// processHandle is a running part of the deployment: an entry, an agent or a server.
type processHandle struct {
	stop context.CancelFunc
	done chan struct{}
}

// Deployment is a running deployment. Entries and Workers are indexed by the numbers
// in their names, from 0.
type Deployment struct {
	deps  provider.Deps
	cfg   Config
	key   ed25519.PrivateKey
	trust approver.ApproverKeys

	Store     *storer.Store
	storeAddr string
	Entries   []*receiver.Receiver
	Workers   []*worker.Worker

	mu        sync.Mutex
	processes map[string]processHandle
}

// NewDeployment starts a deployment, which runs until Stop is called.
func NewDeployment(deps provider.Deps, cfg Config) (*Deployment, error) {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return nil, errors.Wrap(err, "generate key")
	}
	d := &Deployment{
		deps:      deps,
		cfg:       cfg,
		key:       private,
		trust:     approver.ApproverKeys{ApproverName: base64.StdEncoding.EncodeToString(public)},
		Store:     storer.NewStore(deps.Clock),
		processes: make(map[string]processHandle),
	}
	if err := d.start(); err != nil {
		d.Stop()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start() error {
	addr, err := d.serve(storeName, d.Store)
	if err != nil {
		return err
	}
	d.storeAddr = addr
	if err := d.RollOut(context.Background(), d.cfg.Bundle); err != nil {
		return err
	}
	for i := range d.cfg.Entries {
		if err := d.StartEntry(i); err != nil {
			return err
		}
	}
	for i := range d.cfg.Workers {
		if err := d.startWorker(i); err != nil {
			return err
		}
	}
	return nil
}

// RollOut signs b and publishes it.
func (d *Deployment) RollOut(ctx context.Context, b approver.Bundle) error {
	signed, err := approver.Sign(b, ApproverName, d.key)
	if err != nil {
		return err
	}
	return publisher.NewPublisher(d.deps.Clock, d.StoreClient(), d.trust).Publish(ctx, signed)
}

// StoreClient returns a client of the deployment's store.
func (d *Deployment) StoreClient() *keeper.Client { return keeper.NewClient("http://" + d.storeAddr) }

// EntryID returns the ID of the i-th entry.
func EntryID(i int) string { return fmt.Sprintf("entry-%d", i+1) }

// AgentID returns the ID of the i-th agent.
func AgentID(i int) string { return fmt.Sprintf("agent-%d", i+1) }

// StartEntry starts the i-th entry: a stopped one, or a new one if i is the number of
// entries so far.
func (d *Deployment) StartEntry(i int) error {
	var peers []string
	for _, e := range d.Entries {
		if e != nil {
			peers = append(peers, e.LinkAddr())
		}
	}
	e, err := receiver.NewReceiver(d.deps, receiver.Config{
		ID:         EntryID(i),
		DataCentre: d.dataCentre(i),
		Listen:     loopback,
		Link:       loopback,
		Peers:      peers,
		Trust:      d.trust,
		Seed:       uint64(i),
	}, d.StoreClient())
	if err != nil {
		return err
	}
	if i == len(d.Entries) {
		d.Entries = append(d.Entries, nil)
	}
	d.Entries[i] = e
	d.startProcess(EntryID(i), e.Run)
	return nil
}

func (d *Deployment) dataCentre(i int) string { return d.cfg.DataCentres[i%len(d.cfg.DataCentres)] }

// startWorker starts the i-th upstream and the agent beside it.
func (d *Deployment) startWorker(i int) error {
	var links []string
	for _, e := range d.Entries {
		links = append(links, e.LinkAddr())
	}
	a, err := agent.NewAgent(d.deps, agent.Config{
		ID:         AgentID(i),
		DataCentre: d.dataCentre(i),
		Rack:       fmt.Sprintf("rack-%d", i/3+1),
		Listen:     loopback,
		Entries:    links,
	})
	if err != nil {
		return err
	}
	d.startProcess(AgentID(i), a.Run)
	listener, err := limiter.Listen(loopback)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	w := worker.NewWorker(d.deps, worker.Config{
		Announcement: worker.Announcement{
			Address:     listener.Addr().String(),
			Slots:       d.cfg.Slots,
			Connections: d.cfg.Connections,
			Services:    []string{d.cfg.Service},
		},
		Agent: a.Addr(),
	})
	d.Workers = append(d.Workers, w)
	name := fmt.Sprintf("worker-%d", i+1)
	d.serveOn(name, listener, w.Handler())
	d.startProcess(name+"-announce", w.Announce)
	return nil
}

func (d *Deployment) serve(name string, h http.Handler) (string, error) {
	listener, err := limiter.Listen(loopback)
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	d.serveOn(name, listener, h)
	return listener.Addr().String(), nil
}

func (d *Deployment) serveOn(name string, listener net.Listener, h http.Handler) {
	server := limiter.NewServer(h, headerTimeout)
	pool := limiter.NewPool(d.deps, limiter.Instance{}.MainConfig(name, 0, 100))
	d.startProcess(name, func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		return server.Serve(pool.Listener(listener))
	})
}

// startProcess runs f in a goroutine, with a context that the process's stop function
// cancels.
func (d *Deployment) startProcess(name string, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	p := processHandle{stop: cancel, done: make(chan struct{})}
	d.mu.Lock()
	d.processes[name] = p
	d.mu.Unlock()
	go func() {
		defer close(p.done)
		if err := f(ctx); err != nil && ctx.Err() == nil {
			d.deps.Log.WithError(err).WithField("process", name).Error("process ended with an error")
		}
	}()
}

// StopProcess shuts down the process with the given name and waits until it has ended.
func (d *Deployment) StopProcess(name string) {
	d.mu.Lock()
	p, ok := d.processes[name]
	delete(d.processes, name)
	d.mu.Unlock()
	if !ok {
		return
	}
	p.stop()
	<-p.done
}

// Stop shuts down all processes, the store last, and waits until they have ended.
func (d *Deployment) Stop() {
	d.mu.Lock()
	processes := d.processes
	d.processes = make(map[string]processHandle)
	d.mu.Unlock()
	store := processes[storeName]
	delete(processes, storeName)
	for _, p := range processes {
		p.stop()
	}
	for _, p := range processes {
		<-p.done
	}
	if store.stop != nil {
		store.stop()
		<-store.done
	}
}
