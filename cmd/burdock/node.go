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

	"burdockyard/io/byentry"
	"burdockyard/io/bylog"
	"burdockyard/platform"
)

const (
	// heapShare is the part of a VM's memory that the heap may take.
	heapShare = 0.5
	// gcPercent trades processor time for memory: an entry node allocates little.
	gcPercent = 50
	// settingsPoll is the time between two looks at the settings file, which may
	// change without a signal.
	settingsPoll = 5 * time.Second
	// linkPerCore is the traffic, in Mbit/s each way, of the requests that one core
	// forwards: about 1,200 a second (docs/CAPACITY.md) of 4 KB on average.
	linkPerCore = 40.0
	// directoryTTL is how long callers keep an answer of the directory.
	directoryTTL = 2 * time.Second
)

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
	debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * heapShare))
	debug.SetGCPercent(gcPercent)
	store := platform.NewStore(s.StoreAddr)
	ring := bylog.NewAsyncWriter(os.Stdout)
	root := bylog.New(ring, c.LogLevel, string(s.Node))
	log := bylog.ForComponent(root, bylog.Node)
	log.Info("starting", bylog.Str("version", version), bylog.Str("settings", fmt.Sprintf("%+v", s)))
	node := byentry.New(c.entrySettings(s), entryPlatform(store), byentry.WithLog(root))
	ctx, stop := untilSignal()
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	logging, endLogging := context.WithCancel(context.WithoutCancel(ctx))
	var logs errgroup.Group
	logs.Go(func() error { return ring.Run(logging) })
	group, life := errgroup.WithContext(ctx)
	group.Go(func() error {
		poll := time.NewTicker(settingsPoll)
		defer poll.Stop()
		f := settingsFollower{read: platform.ReadSettings, tune: node.UpdateSettings, log: log, last: s}
		f.run(life, hup, poll.C)
		return nil
	})
	group.Go(func() error { return node.Run(ctx) })
	err = group.Wait()
	endLogging()
	return errors.Join(err, logs.Wait())
}

func (c *nodeCommand) entrySettings(s platform.Settings) byentry.Settings {
	metrics := ""
	if c.MetricsPort > 0 {
		metrics = s.IP + ":" + strconv.Itoa(c.MetricsPort)
	}
	return byentry.Settings{
		Node: s.Node, Domain: s.Domain, CallerAddr: s.FrontAddr, ReadyAddr: s.ReadyAddr, DirectoryAddr: s.DirectoryAddr,
		PeerAddr: s.IP + ":" + strconv.Itoa(s.PeerPort), MetricsAddr: metrics, FirstSystemStart: s.FirstStart, ClaimTTL: s.Bounds.Lease, ReloadableSettings: tuning(s),
	}
}

// tuning are the settings that take effect without a new start.
func tuning(s platform.Settings) byentry.ReloadableSettings {
	return byentry.ReloadableSettings{
		Capacity: capacity(s), MemoryBytes: s.MemoryBytes, Grace: s.Bounds.Grace, DrainBound: s.Bounds.Drain, ConfigBound: s.Bounds.Config,
		RetryRatio: s.Bounds.RetryRatio, RetrySlack: float64(s.Bounds.RetrySlack), AnswerTTL: min(directoryTTL, s.Bounds.MaxAnswer),
	}
}

// capacity is what a VM can carry, as a share of a core. A narrow link counts as
// the part of a core whose requests fill it.
func capacity(s platform.Settings) float64 {
	return min(s.CPUShare, s.LinkMbps/linkPerCore)
}

func entryPlatform(store *platform.Store) byentry.Platform {
	return byentry.Platform{
		Registry: store, Table: store, Protocol: platform.Protocol{}, Engines: platform.EngineProtocol{},
		ConfigTable: platform.ConfigTable, ConfigKey: platform.ConfigKey, InstanceTable: platform.InstanceTable,
		DecodeConfig: platform.DecodeConfig, DecodeInstance: platform.DecodeInstance,
		NewDirectory: func(lookup func(host, domain string) ([]string, time.Duration)) http.Handler {
			return platform.NewDirectoryHandler(func(q platform.DirectoryQuery) ([]string, time.Duration) { return lookup(q.Host, q.Domain) })
		},
		NewReadiness: platform.NewReadinessHandler,
	}
}
