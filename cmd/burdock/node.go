package main

import (
	"context"
	"errors"
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
	ring := bylog.NewRing(os.Stdout)
	root := bylog.New(ring, c.LogLevel, string(s.Node))
	log := bylog.Part(root, bylog.Node)
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
		reloadOnSignal(life, hup, log)
		return nil
	})
	group.Go(func() error { return node.Run(ctx) })
	err = group.Wait()
	endLogging()
	return errors.Join(err, logs.Wait())
}

// reloadOnSignal reads the settings again when they may have changed. Addresses
// and limits of a running process do not change, so that the file is only checked.
func reloadOnSignal(ctx context.Context, hup <-chan os.Signal, log bylog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		if _, err := platform.ReadSettings(); err != nil {
			log.Warn("settings not taken, the earlier ones stay in force", bylog.Err(err))
			continue
		}
		log.Info("settings read again")
	}
}

func (c *nodeCommand) entrySettings(s platform.Settings) byentry.Settings {
	metrics := ""
	if c.MetricsPort > 0 {
		metrics = s.IP + ":" + strconv.Itoa(c.MetricsPort)
	}
	return byentry.Settings{
		Node: s.Node, Domain: s.Domain, FrontAddr: s.FrontAddr, ReadyAddr: s.ReadyAddr, DirectoryAddr: s.DirectoryAddr,
		PeerAddr: s.IP + ":" + strconv.Itoa(s.PeerPort), Capacity: s.CPUShare, MemoryBytes: s.MemoryBytes,
		MetricsAddr: metrics,
		Grace:       s.Bounds.Grace, DrainBound: s.Bounds.Drain, ConfigBound: s.Bounds.Config, RetryRatio: s.Bounds.RetryRatio, RetrySlack: float64(s.Bounds.RetrySlack),
		AnswerTTL: min(directoryTTL, s.Bounds.MaxAnswer),
	}
}

func entryPlatform(store *platform.Store) byentry.Platform {
	return byentry.Platform{
		Registry: store, Table: store, Protocol: platform.Protocol{},
		ConfigTable: platform.ConfigTable, ConfigKey: platform.ConfigRow, InstanceTable: platform.InstanceTable,
		DecodeConfig: platform.DecodeConfig, DecodeInstance: platform.DecodeInstance,
		NewDirectory: func(lookup func(host, domain string) ([]string, time.Duration)) http.Handler {
			return platform.NewDirectory(func(q platform.DirectoryQuery) ([]string, time.Duration) { return lookup(q.Host, q.Domain) })
		},
		NewReadiness: platform.NewReadiness,
	}
}
