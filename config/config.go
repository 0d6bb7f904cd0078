package config

import (
	"bytes"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// Duration is a time.Duration that a settings file gives as a text such as "30s".
type Duration struct {
	time.Duration
}

// UnmarshalText implements encoding.TextUnmarshaler with time.ParseDuration.
func (duration *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	duration.Duration = parsed
	return err
}

// Config is the settings file that `cherrykeel run --config` reads; docs/SETTINGS.md describes each field.
type Config struct {
	// Name is the host's name, which no other host may have; Zone is its availability zone.
	Name string
	Zone string
	// Listen is the address for callers, Admin for operators and Inner for other entry hosts. Each is an IP and a port.
	Listen string
	Admin  string
	Inner  string
	// AnnounceInner is the address under which other hosts reach Inner, if that is not Inner itself.
	AnnounceInner string
	// Log and Hosts are the http URLs of the platform's log and list of hosts.
	Log   string
	Hosts string
	// StopTimeout bounds a graceful shutdown.
	StopTimeout Duration
	// StopDelay is how long a stopping host still accepts connections and requests after it reports that it is not ready.
	StopDelay Duration
	// CheckpointRecords is after how many records since the last checkpoint another one is appended to the log.
	CheckpointRecords int
	// MaxHeaderBytes bounds a request's header section.
	MaxHeaderBytes int
	// LogLevel is debug, info, warn or error.
	LogLevel string
}

// Default returns the values of the fields that a settings file does not set.
func Default() Config {
	return Config{
		Listen:            "127.0.0.1:8080",
		Admin:             "127.0.0.1:8081",
		Inner:             "127.0.0.1:8082",
		StopTimeout:       Duration{10 * time.Minute},
		StopDelay:         Duration{3 * time.Second},
		CheckpointRecords: 200,
		MaxHeaderBytes:    64 << 10,
		LogLevel:          "info",
	}
}

// Load reads and checks a settings file. Its errors name the file, the line if it is known, and the values that are
// allowed.
func Load(file string) (Config, error) {
	config := Default()
	data, err := os.ReadFile(file)
	if err != nil {
		return config, errors.WithStack(err)
	}
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	err = decoder.Decode(&config)
	if err != nil {
		return config, describeDecodeError(file, err)
	}
	problems := config.Check()
	if len(problems) > 0 {
		return config, errors.Errorf("%s: %s", file, strings.Join(problems, "\n"+file+": "))
	}
	return config, nil
}

// describeDecodeError adds the file's name, the line and, for an unknown field, its name to an error of the decoder.
func describeDecodeError(file string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		lines := make([]string, 0, len(strict.Errors))
		for _, missing := range strict.Errors {
			line, _ := missing.Position()
			lines = append(lines, fmt.Sprintf("%s:%d: %s: unknown field", file, line, strings.Join(missing.Key(), ".")))
		}
		return errors.New(strings.Join(lines, "\n"))
	}
	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) {
		line, _ := decodeError.Position()
		return errors.Errorf("%s:%d: %s", file, line, strings.TrimPrefix(decodeError.Error(), "toml: "))
	}
	return errors.Wrap(err, file)
}

// Check returns the problems of the values, each with the names of its fields.
func (config Config) Check() []string {
	var problems []string
	add := func(format string, arguments ...any) {
		problems = append(problems, fmt.Sprintf(format, arguments...))
	}
	if config.Name == "" || config.Zone == "" {
		add("Name and Zone: must be set")
	}
	addresses := map[string]string{"Listen": config.Listen, "Admin": config.Admin, "Inner": config.Inner}
	if config.AnnounceInner != "" {
		addresses["AnnounceInner"] = config.AnnounceInner
	}
	for _, name := range []string{"Listen", "Admin", "Inner", "AnnounceInner"} {
		address, exists := addresses[name]
		if _, err := netip.ParseAddrPort(address); exists && err != nil {
			add("%s: is %q, must be an IP and a port", name, address)
		}
	}
	for name, text := range map[string]string{"Log": config.Log, "Hosts": config.Hosts} {
		parsed, err := url.Parse(text)
		if err != nil || parsed.Scheme != "http" || parsed.Host == "" {
			add("%s: is %q, must be an http URL", name, text)
		}
	}
	if config.StopTimeout.Duration <= 0 || config.StopDelay.Duration < 0 || config.StopDelay.Duration > config.StopTimeout.Duration {
		add("StopDelay, StopTimeout: are %v and %v, must be from 0s, and StopDelay no longer than StopTimeout", config.StopDelay.Duration, config.StopTimeout.Duration)
	}
	if config.CheckpointRecords < 10 || config.CheckpointRecords > 1_000_000 {
		add("CheckpointRecords: is %d, must be from 10 to 1000000", config.CheckpointRecords)
	}
	if config.MaxHeaderBytes < 1024 || config.MaxHeaderBytes > 1<<20 {
		add("MaxHeaderBytes: is %d, must be from 1024 to 1048576", config.MaxHeaderBytes)
	}
	if !strings.Contains(" debug info warn error ", " "+config.LogLevel+" ") {
		add("LogLevel: is %q, must be one of debug, info, warn, error", config.LogLevel)
	}
	return problems
}
