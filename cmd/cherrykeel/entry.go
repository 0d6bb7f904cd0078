package main

import (
	"context"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cherrykeel"
	"cherrykeel/conns"
	"cherrykeel/entry"
	"cherrykeel/events"
	"cherrykeel/hangup"
	"cherrykeel/opctl"
	adapter "cherrykeel/platform"
)

const (
	// dialTimeout and userTimeout bound calls to a store that does not answer at all: the connection setup, and the time
	// for which sent bytes stay unacknowledged. The store is 1 ms away.
	dialTimeout = 500 * time.Millisecond
	userTimeout = 700 * time.Millisecond
	// grantIdleTimeout is shorter than the upstreams' own idle timeout, so that the host closes idle connections for
	// grants first.
	grantIdleTimeout = 5 * time.Second
	// storeIdleTimeout is how long idle connections to the store stay open.
	storeIdleTimeout = 30 * time.Second
	// maxHeaderBytes bounds the head of an answer of the store.
	maxHeaderBytes = 64 << 10
	// memoryLimitShare is the share of the allowed memory that is set as the soft limit of the garbage collector.
	memoryLimitShare = 0.6
	// settingsPollInterval is how often the settings file is read, since it may change without a signal.
	settingsPollInterval = 2 * time.Second
)

// entryCommand runs an entry host on the users' platform.
type entryCommand struct {
	Config string `help:"The platform's settings file." env:"CHERRYKEEL_CONFIG" required:""`
}

func (command *entryCommand) Run() error {
	settings, err := adapter.LoadSettings(command.Config)
	if err != nil {
		return &opctl.ExitError{Code: opctl.ExitInvalid, Err: err}
	}
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.MemoryBytes)))
	sink := events.NewSink(os.Stdout)
	logger := events.NewLogger(sink, zapcore.InfoLevel)
	scope, handler, closer := newMetrics()
	clock := cherrykeel.BootTimeClock()
	store := adapter.NewStore(settings.StoreURL, newTransport(conns.NewDialer(dialTimeout, userTimeout).DialContext, storeIdleTimeout))
	host := entry.New(settings, entry.Platform{
		Dialect: adapter.Dialect(),
		NewGranter: func(dial conns.DialFunc) cherrykeel.SpanGranter {
			return adapter.NewGranter(newTransport(dial, grantIdleTimeout), clock, adapter.WithLogger(logger))
		},
		Operator:         store.Topic(adapter.OperatorTopic),
		Upstreams:        store.Topic(adapter.ServersTopic),
		Hosts:            store.Topic(adapter.HostsTopic),
		Spans:            store.Topic(adapter.SpansTopic),
		EvacuationPrefix: adapter.EvacuationPrefix,
		RoutesKey:        adapter.RoutesKey,
		DecodeRoutes:     adapter.DecodeRoutes,
		DecodeUpstream:   adapter.DecodeUpstream,
	}, entry.WithLogger(logger), entry.WithMetrics(scope, handler), entry.WithClock(clock))
	closeOutputs := func() {
		_ = closer.Close()
		sink.Close()
	}
	listen := func() error {
		err := host.Listen()
		if err != nil {
			closeOutputs()
		}
		return err
	}
	return serve(listen, func(ctx context.Context) error {
		go command.watchSettings(ctx, hangup.Signals(), logger, func(settings cherrykeel.EntrySettings) {
			store.SetURL(settings.StoreURL)
			host.Reload(settings)
		})
		return runUntil(host.MustExit(), func() error {
			defer closeOutputs()
			return host.Run(ctx)
		})
	})
}

// runUntil runs a function and returns when the function ends or mustExit is closed; a function that still runs then
// ends with the process. Otherwise a stalled reader of the log output could keep the process running forever after all
// requests were served.
func runUntil(mustExit <-chan struct{}, run func() error) error {
	ended := make(chan error, 1)
	go func() {
		ended <- run()
	}()
	select {
	case err := <-ended:
		return err
	case <-mustExit:
		return nil
	}
}

// watchSettings reads the settings file on each signal and periodically. It calls reload after a signal, or if the
// settings differ from the last ones; invalid settings are only logged.
func (command *entryCommand) watchSettings(ctx context.Context, signals <-chan os.Signal, logger *zap.Logger, reload func(cherrykeel.EntrySettings)) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last, _ := adapter.LoadSettings(command.Config)
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			signaled = true
		case <-ticker.C:
		}
		settings, err := adapter.LoadSettings(command.Config)
		if err != nil {
			events.Log(logger, events.SettingsInvalid, zap.Error(err))
			continue
		}
		if signaled || settings != last {
			last = settings
			reload(settings)
		}
	}
}

// newTransport returns a transport for calls to the store or for grants, over connections that dial opens. Its connections are reset when they are closed,
// so that a call that was given up is not delivered later.
func newTransport(dial conns.DialFunc, idleTimeout time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:            conns.ResetOnClose(dial),
		DisableCompression:     true,
		MaxIdleConnsPerHost:    8,
		MaxResponseHeaderBytes: maxHeaderBytes,
		IdleConnTimeout:        idleTimeout,
	}
}
