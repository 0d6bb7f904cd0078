package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
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
	// dialTimeout and storeSilence end calls to a store that does not answer at all; it is 1 ms away.
	dialTimeout = 500 * time.Millisecond
	userTimeout = 700 * time.Millisecond
	// grantIdleTimeout keeps connections for orders shorter than upstreams do.
	grantIdleTimeout = 5 * time.Second
	storeIdleTimeout = 30 * time.Second
	// memoryLimitShare is the part of the allowed memory at which the collector works harder.
	memoryLimitShare = 0.6
	// settingsPollInterval is how often the settings file is looked at, since it may change without a signal.
	settingsPollInterval = 2 * time.Second
)

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
	store := adapter.NewStore(settings.StoreURL, newTransport(storeIdleTimeout))
	host := entry.New(settings, entry.Platform{
		Dialect:          adapter.Dialect(),
		Granter:          adapter.NewGranter(newTransport(grantIdleTimeout), clock),
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
	err = host.Listen()
	if err != nil {
		closeOutputs()
		return &opctl.ExitError{Code: opctl.ExitInvalid, Err: err}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	go command.watchSettings(ctx, hangup.Signals(), logger, func(settings cherrykeel.EntrySettings) {
		store.SetURL(settings.StoreURL)
		host.Reload(settings)
	})
	return runUntil(host.MustExit(), func() error {
		defer closeOutputs()
		return host.Run(ctx)
	})
}

// runUntil returns when a program has run, or when its time is over: what still hangs ends with the process. A reader of
// the log that had stalled kept the process for ever, with all requests served.
func runUntil(over <-chan struct{}, program func() error) error {
	ended := make(chan error, 1)
	go func() {
		ended <- program()
	}()
	select {
	case err := <-ended:
		return err
	case <-over:
		return nil
	}
}

// watchSettings reads the settings file again when it is told to, or finds it changed.
func (command *entryCommand) watchSettings(ctx context.Context, changed <-chan os.Signal, logger *zap.Logger, reload func(cherrykeel.EntrySettings)) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last, _ := adapter.LoadSettings(command.Config)
	for {
		asked := false
		select {
		case <-ctx.Done():
			return
		case <-changed:
			asked = true
		case <-ticker.C:
		}
		settings, err := adapter.LoadSettings(command.Config)
		if err != nil {
			events.Log(logger, events.SettingsInvalid, zap.Error(err))
			continue
		}
		if asked || settings != last {
			last = settings
			reload(settings)
		}
	}
}

func newTransport(idle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:         conns.ResetOnClose(conns.NewDialer(dialTimeout, userTimeout)),
		DisableCompression:  true,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     idle,
	}
}
