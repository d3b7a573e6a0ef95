package byproof

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"burdockyard"
	"burdockyard/io/bymem"
)

// faultKind is the kind of failure injected at a call.
type faultKind string

const (
	killBefore         faultKind = "kill before effect"
	killAfter          faultKind = "kill after effect"
	lostAnswer         faultKind = "answer lost after effect"
	pauseBefore        faultKind = "pause before the call"
	pauseAfter         faultKind = "pause after the call"
	partitionPeers     faultKind = "cut off from peers"
	partitionPlatform  faultKind = "cut off from the platform"
	partitionEndpoints faultKind = "cut off from endpoints"
	platformOutage     faultKind = "long outage"
	slowStore          faultKind = "slow store"
	lateDuplicate      faultKind = "duplicate, late delivery"
	crashEngine        faultKind = "engine crash"
	racingOperator     faultKind = "racing operator"
)

var faultKinds = []faultKind{
	killBefore, killAfter, lostAnswer, pauseBefore, pauseAfter, partitionPeers, partitionPlatform,
	partitionEndpoints, platformOutage, slowStore, lateDuplicate, crashEngine, racingOperator,
}

const (
	leaseTTL          = 3 * time.Second
	leaseMargin       = time.Second
	maxOrderTransit   = 2 * time.Second
	pauseDuration     = 3 * (leaseTTL + leaseMargin) // well beyond the expiry of the lease
	partitionDuration = 12 * time.Second
	outageDuration    = 20 * time.Second
	slowStoreDuration = 10 * time.Second
	slowStoreDelay    = 1500 * time.Millisecond
	callTimeout       = time.Second
	duplicateDelay    = maxOrderTransit - 200*time.Millisecond // a late duplicate arrives within maxOrderTransit
	restartDelay      = 2 * time.Second
)

// fault injects a kind of failure at one call. The field at is the number of that
// call, starting at 1, among the calls of the class, or among all calls if class is
// empty. The order of calls of different classes differs a little from run to run,
// so a number among all calls does not mean the same call in each run.
type fault struct {
	kind  faultKind
	at    int
	class callClass
}

var (
	errProcessDead = merry.Sentinel("process is dead")
	errReplyLost   = merry.Sentinel("answer lost")
)

// callClass is the kind of receiver of a call.
type callClass string

const (
	toPlatform  callClass = "platform"
	toPeers     callClass = "peers"
	toEndpoints callClass = "endpoints"
	toOrders    callClass = "orders"   // orders to engines that ignore fencing numbers
	toServices  callClass = "services" // calls to endpoints of services
)

// process is one incarnation of a node's process and the faults that affect it.
type process struct {
	name   burdockyard.NodeID
	ctx    context.Context
	cancel context.CancelFunc

	mu               sync.Mutex
	dead             bool
	pausedUntil      time.Time
	partitionedUntil map[callClass]time.Time
	vmLost           bool // the address no longer answers, and the node isn't restarted
}

func newProcess(name burdockyard.NodeID) *process {
	ctx, cancel := context.WithCancel(context.Background())
	return &process{name: name, ctx: ctx, cancel: cancel, partitionedUntil: map[callClass]time.Time{}}
}

func (p *process) kill() {
	p.mu.Lock()
	p.dead = true
	p.mu.Unlock()
	p.cancel()
}

func (p *process) isDead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dead
}

// waitWhilePaused blocks while the process is paused. It returns errProcessDead if
// the process is dead.
func (p *process) waitWhilePaused() error {
	for {
		p.mu.Lock()
		dead, left := p.dead, time.Until(p.pausedUntil)
		p.mu.Unlock()
		if dead {
			return errProcessDead
		}
		if left <= 0 {
			return nil
		}
		time.Sleep(left)
	}
}

func (p *process) pause(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pausedUntil = time.Now().Add(d)
}

func (p *process) partition(class callClass) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.partitionedUntil[class] = time.Now().Add(partitionDuration)
}

func (p *process) isPartitioned(class callClass) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.partitionedUntil[class])
}

// environment is everything outside the nodes: the platform, the endpoints and the
// network with its injected faults.
type environment struct {
	table   *bymem.Table
	objects *bymem.ObjectStore

	mu             sync.Mutex
	faults         []fault
	faultsEnabled  bool
	calls          int
	callsByClass   map[callClass]int
	faultsFired    int
	lastFaultAt    time.Time
	outageUntil    time.Time
	slowStoreUntil time.Time
	nodes          map[string]*node // nodes by peer address
	engines        map[string]*engine
	services       map[string]*service
	vmListedUntil  map[string]time.Time // address of a lost VM to the time when the VM list drops it
	racingPublish  func()
	violations     []string
	background     sync.WaitGroup
}

func newEnvironment(faults []fault) *environment {
	return &environment{
		table: bymem.NewTable(), objects: bymem.NewObjectStore(), faults: faults, nodes: map[string]*node{},
		engines: map[string]*engine{}, services: map[string]*service{}, vmListedUntil: map[string]time.Time{}, callsByClass: map[callClass]int{}, racingPublish: func() {}, lastFaultAt: time.Now(),
	}
}

func (env *environment) recordViolation(format string, args ...any) {
	env.mu.Lock()
	defer env.mu.Unlock()
	if len(env.violations) < 20 {
		env.violations = append(env.violations, fmt.Sprintf("%s: ", time.Now().Format("04:05.000"))+fmt.Sprintf(format, args...))
	}
}

// nextFault counts a call and returns the fault to inject at it, or "".
func (env *environment) nextFault(class callClass, engineAddr string) faultKind {
	env.mu.Lock()
	defer env.mu.Unlock()
	if !env.faultsEnabled {
		return ""
	}
	env.calls++
	if class == toOrders && env.engines[engineAddr].enforcesFencing {
		class = toEndpoints
	}
	env.callsByClass[class]++
	for _, f := range env.faults {
		if f.class == "" && f.at == env.calls || f.class == class && f.at == env.callsByClass[class] {
			env.faultsFired++
			env.lastFaultAt = time.Now()
			return f.kind
		}
	}
	return ""
}

func (env *environment) setFaultsEnabled(on bool) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.faultsEnabled = on
}

// call makes a call of a process, subject to the injected faults. repeatEffect
// applies the effect of a late duplicate, whose answer is lost. It is nil for
// calls whose duplicate has no effect.
func (env *environment) call(p *process, class callClass, engineAddr string, do func() error, repeatEffect func()) error {
	if err := p.waitWhilePaused(); err != nil {
		return err
	}
	kind := env.nextFault(class, engineAddr)
	if class == toOrders || class == toServices {
		class = toEndpoints
	}
	env.startLastingFault(kind, p, engineAddr)
	if err := env.waitOrFail(p, class); err != nil {
		return err
	}
	switch kind {
	case killBefore:
		p.kill()
		return errProcessDead
	case killAfter:
		_ = do()
		p.kill()
		return errProcessDead
	case lostAnswer:
		_ = do()
		return replyLostError(class)
	case pauseBefore:
		p.pause(pauseDuration)
	case pauseAfter:
		err := do()
		p.pause(pauseDuration)
		if waitErr := p.waitWhilePaused(); waitErr != nil {
			return waitErr
		}
		return err
	case lateDuplicate:
		env.deliverDuplicate(repeatEffect)
	}
	if err := p.waitWhilePaused(); err != nil {
		return err
	}
	return do()
}

func (env *environment) deliverDuplicate(repeatEffect func()) {
	if repeatEffect == nil {
		return
	}
	env.background.Go(func() {
		time.Sleep(duplicateDelay)
		repeatEffect()
	})
}

// startLastingFault starts a fault that outlasts the call, or that happens beside it.
func (env *environment) startLastingFault(kind faultKind, p *process, engineAddr string) {
	env.mu.Lock()
	defer env.mu.Unlock()
	switch kind {
	case partitionPeers:
		p.partition(toPeers)
	case partitionPlatform:
		p.partition(toPlatform)
	case partitionEndpoints:
		p.partition(toEndpoints)
	case platformOutage:
		env.outageUntil = time.Now().Add(outageDuration)
	case slowStore:
		env.slowStoreUntil = time.Now().Add(slowStoreDuration)
	case crashEngine:
		if e := env.engines[engineAddr]; e != nil {
			env.background.Go(e.crash)
		}
	case racingOperator:
		env.background.Go(env.racingPublish)
	}
}

// waitOrFail delays a call by a lasting fault, or returns the error with which the
// fault fails it.
func (env *environment) waitOrFail(p *process, class callClass) error {
	env.mu.Lock()
	down := class == toPlatform && time.Now().Before(env.outageUntil)
	slow := class == toPlatform && time.Now().Before(env.slowStoreUntil)
	env.mu.Unlock()
	if down {
		return burdockyard.ErrUnavailable
	}
	if slow {
		time.Sleep(slowStoreDelay)
	}
	if p.isPartitioned(class) {
		time.Sleep(callTimeout)
		return notSentError(class)
	}
	return nil
}

func replyLostError(class callClass) error {
	if class == toEndpoints {
		return burdockyard.ErrInterrupted
	}
	return errReplyLost
}

func notSentError(class callClass) error {
	switch class {
	case toEndpoints:
		return burdockyard.ErrNotStarted
	case toPlatform:
		return burdockyard.ErrUnavailable
	default:
		return errReplyLost
	}
}

// platform is one process's client of the platform.
type platform struct {
	env *environment
	p   *process
}

func (x platform) Get(ctx context.Context, keys ...string) (rows []burdockyard.Row, err error) {
	err = x.env.call(x.p, toPlatform, "", func() error {
		rows, err = x.env.table.Get(ctx, keys...)
		return err
	}, nil)
	return rows, err
}

func (x platform) Commit(ctx context.Context, txn burdockyard.Txn) error {
	return x.env.call(x.p, toPlatform, "", func() error { return x.env.table.Commit(ctx, txn) },
		func() { _ = x.env.table.Commit(ctx, txn) })
}

// VMs implements burdockyard.VMList. In the fault matrix no VM is ever lost, so
// the proof that a former holder has stopped must come from the processes.
func (x platform) VMs(context.Context) ([]burdockyard.VM, error) {
	x.env.mu.Lock()
	defer x.env.mu.Unlock()
	var vms []burdockyard.VM
	for addr := range x.env.nodes {
		if at, lost := x.env.vmListedUntil[addr]; !lost || time.Now().Before(at) {
			vms = append(vms, burdockyard.VM{ID: addr, Addr: addr})
		}
	}
	return vms, nil
}

type objects struct{ platform }

func (x objects) Put(ctx context.Context, key string, data []byte) error {
	return x.env.call(x.p, toPlatform, "", func() error { return x.env.objects.Put(ctx, key, data) },
		func() { _ = x.env.objects.Put(ctx, key, data) })
}

func (x objects) Get(ctx context.Context, key string) (data []byte, err error) {
	err = x.env.call(x.p, toPlatform, "", func() error {
		data, err = x.env.objects.Get(ctx, key)
		return err
	}, nil)
	return data, err
}
