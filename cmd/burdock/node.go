package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockyard/io/byclock"
	"burdockyard/io/byentry"
	"burdockyard/io/bylog"
	"burdockyard/platform"
)

const (
	// heapFraction is the fraction of a VM's memory that the Go heap may use.
	heapFraction = 0.5
	// gcPercent is below Go's default of 100, which costs CPU time and saves memory;
	// an entry node allocates little.
	gcPercent = 50
	// settingsPollInterval is the interval at which the settings file is reread,
	// because it may change without a signal.
	settingsPollInterval = 5 * time.Second
	// linkMbpsPerCore is the traffic, in Mbit/s in each direction, of the requests
	// that one core forwards: about 1,200 per second (docs/CAPACITY.md) of 4 KB on
	// average.
	linkMbpsPerCore = 40.0
	// directoryTTL is how long callers may cache a directory response, unless the
	// settings set a shorter limit.
	directoryTTL = 2 * time.Second
)

// nodeCommand runs an entry node on the platform of the platform package.
type nodeCommand struct {
	MetricsPort int    `long:"metrics-port" default:"9464" description:"port of /metrics on the node's address; 0 serves none"`
	LogLevel    string `long:"log-level" default:"info" description:"debug, info, warn or error"`
}

// Execute implements flags.Commander.
func (c *nodeCommand) Execute([]string) error {
	s, err := platform.ReadSettings()
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * heapFraction))
	debug.SetGCPercent(gcPercent)
	store := platform.NewStore(s.StoreAddr)
	logWriter := bylog.NewAsyncWriter(os.Stdout)
	rootLog := bylog.New(logWriter, c.LogLevel, string(s.Node))
	log := bylog.ForComponent(rootLog, bylog.Node)
	log.Info("starting", bylog.Str("version", version), bylog.Str("settings", fmt.Sprintf("%+v", s)))
	services := entryPlatform(store)
	if s.APIAddr != "" {
		services.API = platform.NewAPI(s.APIAddr)
	}
	node := byentry.New(c.entrySettings(s), services, byentry.WithLog(rootLog), byentry.WithClock(byclock.New()))
	ctx, stop := untilSignal()
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	logCtx, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	var logGroup errgroup.Group
	logGroup.Go(func() error { return logWriter.Run(logCtx) })
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error {
		poll := time.NewTicker(settingsPollInterval)
		defer poll.Stop()
		reloader := settingsReloader{read: platform.ReadSettings, apply: node.UpdateSettings, log: log, current: s}
		reloader.run(groupCtx, hup, poll.C)
		return nil
	})
	group.Go(func() error { return node.Run(ctx) })
	err = group.Wait()
	stopLog()
	return errors.Join(err, logGroup.Wait())
}

// entrySettings maps the platform's settings to those of an entry node.
func (c *nodeCommand) entrySettings(s platform.Settings) byentry.Settings {
	metrics := ""
	if c.MetricsPort > 0 {
		metrics = s.IP + ":" + strconv.Itoa(c.MetricsPort)
	}
	return byentry.Settings{
		Node: s.Node, Domain: s.Domain, CallerAddr: s.FrontAddr, ReadyAddr: s.ReadyAddr, DirectoryAddr: s.DirectoryAddr,
		PeerAddr: s.IP + ":" + strconv.Itoa(s.PeerPort), MetricsAddr: metrics,
		FirstSystemStart: s.FirstStart, ClaimTTL: s.Bounds.Lease, ReloadableSettings: reloadableSettings(s),
	}
}

// reloadableSettings returns the settings that take effect without a restart.
func reloadableSettings(s platform.Settings) byentry.ReloadableSettings {
	return byentry.ReloadableSettings{
		Capacity: capacity(s), MemoryBytes: s.MemoryBytes, Grace: s.Bounds.Grace, DrainBound: s.Bounds.Drain, ConfigBound: s.Bounds.Config,
		RetryRatio: s.Bounds.RetryRatio, RetrySlack: float64(s.Bounds.RetrySlack), RetryWindow: s.Bounds.RetryWindow, AnswerTTL: min(directoryTTL, s.Bounds.MaxAnswer),
		RevokeBound: s.Bounds.Revoke, Duties: dutySettings(s),
	}
}

// dutySettings returns the settings of the duties towards the platform.
func dutySettings(s platform.Settings) byentry.DutySettings {
	return byentry.DutySettings{
		Reports: s.ReportsUsage && s.Bounds.UsageWindow > 0, Scales: s.ScalesServices,
		CallsPerS: s.DutyCallsPerS, ChecksFences: s.Bounds.Fencing, Lease: s.Bounds.Lease,
		UsageWindow: s.Bounds.UsageWindow, UsageDeadline: s.Bounds.UsageLate,
	}
}

// capacity returns the load that a VM can carry, as a fraction of one core. A slow
// link counts as the fraction of a core whose forwarded requests saturate it.
func capacity(s platform.Settings) float64 {
	return min(s.CPUShare, s.LinkMbps/linkMbpsPerCore)
}

// entryPlatform adapts the platform package to the interfaces of an entry node.
func entryPlatform(store *platform.Store) byentry.Platform {
	return byentry.Platform{
		Registry: store, Table: store, Protocol: platform.Protocol{}, Engines: platform.EngineProtocol{},
		ConfigTable: platform.ConfigTable, ConfigKey: platform.ConfigKey, InstanceTable: platform.InstanceTable,
		DecodeConfig: platform.DecodeConfig, RedactRow: platform.RedactConfigRow, DecodeInstance: platform.DecodeInstance,
		NewDirectory: func(lookup func(host, domain string) ([]string, time.Duration)) http.Handler {
			return platform.NewDirectoryHandler(func(q platform.DirectoryQuery) ([]string, time.Duration) { return lookup(q.Host, q.Domain) })
		},
		NewReadiness: platform.NewReadinessHandler,
	}
}
