package main

import (
	"context"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cherrykeel/config"
	"cherrykeel/demo"
	"cherrykeel/host"
	"cherrykeel/opctl"
)

// metricsReportInterval is how often the metrics scope passes values on to its reporter.
const metricsReportInterval = time.Second

// runCommand runs an entry host that is configured by a TOML file.
type runCommand struct {
	Config string `help:"TOML file with the host's addresses, availability zone and platform." required:"" type:"existingfile"`
}

func (command *runCommand) Run() error {
	config, err := config.Load(command.Config)
	if err != nil {
		return &opctl.ExitError{Code: opctl.ExitInvalid, Err: err}
	}
	logger, err := newLogger(config.LogLevel)
	if err != nil {
		return err
	}
	scope, handler, closer := newMetrics()
	defer closer.Close()
	entry := host.New(config, host.WithLogger(logger), host.WithMetrics(scope, handler))
	return serve(entry.Listen, entry.Run)
}

// newLogger returns a logger that writes JSON lines of a level and above.
func newLogger(level string) (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	config.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	config.EncoderConfig.TimeKey = "Time"
	config.EncoderConfig.LevelKey = "Level"
	config.EncoderConfig.MessageKey = "Text"
	config.DisableStacktrace = true
	config.DisableCaller = true
	err := config.Level.UnmarshalText([]byte(level))
	if err != nil {
		return nil, err
	}
	return config.Build()
}

// newMetrics returns the root scope of metrics and the handler that exposes them to Prometheus.
func newMetrics() (tally.Scope, http.Handler, io.Closer) {
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: prom.NewRegistry()})
	options := tally.ScopeOptions{
		Prefix:          "cherrykeel",
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}
	scope, closer := tally.NewRootScope(options, metricsReportInterval)
	return scope, reporter.HTTPHandler(), closer
}

// demoCommand runs the demo in this process.
type demoCommand struct {
	For time.Duration `help:"Stop by itself after this time; 0s runs until Ctrl-C." default:"0s"`
}

func (command *demoCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return demo.Run(ctx, os.Stdout, command.For)
}
