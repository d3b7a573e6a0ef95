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

// faultKind is what goes wrong at a call.
type faultKind string

const (
	killBefore   faultKind = "kill before effect"
	killAfter    faultKind = "kill after effect"
	lostAnswer   faultKind = "answer lost after effect"
	pauseBefore  faultKind = "pause before the call"
	pauseAfter   faultKind = "pause after the call"
	cutPeers     faultKind = "cut off from peers"
	cutPlatform  faultKind = "cut off from the platform"
	cutEndpoints faultKind = "cut off from endpoints"
	outage       faultKind = "long outage"
	slowStore    faultKind = "slow store"
	duplicate    faultKind = "duplicate, late delivery"
	crashEngine  faultKind = "engine crash"
	racer        faultKind = "racing operator"
)

var faultKinds = []faultKind{
	killBefore, killAfter, lostAnswer, pauseBefore, pauseAfter, cutPeers, cutPlatform,
	cutEndpoints, outage, slowStore, duplicate, crashEngine, racer,
}

const (
	leaseTTL     = 3 * time.Second
	leaseMargin  = time.Second
	transit      = 2 * time.Second
	pauseFor     = 3 * (leaseTTL + leaseMargin) // well past the lease
	cutFor       = 12 * time.Second
	outageFor    = 20 * time.Second
	slowFor      = 10 * time.Second
	slowDelay    = 1500 * time.Millisecond
	callTimeout  = time.Second
	lateBy       = transit - 200*time.Millisecond // a late copy still arrives within the bound
	restartAfter = 2 * time.Second
)

// fault applies a kind at the at-th call of a class, or of all calls if none is
// named. The order of calls of different classes differs a little from run to run:
// the at-th of all calls is not the same one in each.
type fault struct {
	kind faultKind
	at   int
	only callClass
}

var (
	errDead = merry.Sentinel("process is dead")
	errLost = merry.Sentinel("answer lost")
)

// callClass is what a call talks to.
type callClass string

const (
	toPlatform  callClass = "platform"
	toPeers     callClass = "peers"
	toEndpoints callClass = "endpoints"
	toOrders    callClass = "orders"   // to engines that ignore fencing numbers
	toServices  callClass = "services" // to endpoints of plain services
)

// process is one start of a node, as the faults see it.
type process struct {
	name   burdockyard.NodeID
	ctx    context.Context
	cancel context.CancelFunc

	mu          sync.Mutex
	dead        bool
	pausedUntil time.Time
	cutUntil    map[callClass]time.Time
	vmLost      bool // its address answers nobody, and it is not started again
}

func newProcess(name burdockyard.NodeID) *process {
	ctx, cancel := context.WithCancel(context.Background())
	return &process{name: name, ctx: ctx, cancel: cancel, cutUntil: map[callClass]time.Time{}}
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

// wait holds the caller while the process is paused.
func (p *process) wait() error {
	for {
		p.mu.Lock()
		dead, left := p.dead, time.Until(p.pausedUntil)
		p.mu.Unlock()
		if dead {
			return errDead
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

func (p *process) cut(class callClass) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutUntil[class] = time.Now().Add(cutFor)
}

func (p *process) isCut(class callClass) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.cutUntil[class])
}

// world is everything outside the nodes.
type world struct {
	table   *bymem.Table
	objects *bymem.Objects

	mu         sync.Mutex
	faults     []fault
	armed      bool
	calls      int
	byClass    map[callClass]int
	fired      int
	lastFault  time.Time
	downUntil  time.Time
	slowUntil  time.Time
	nodes      map[string]*node // by peer address
	engines    map[string]*engine
	services   map[string]*service
	offList    map[string]time.Time // addresses of lost VMs, to when the list drops them
	race       func()
	violations []string
	background sync.WaitGroup
}

func newWorld(faults []fault) *world {
	return &world{
		table: bymem.NewTable(), objects: bymem.NewObjects(), faults: faults, nodes: map[string]*node{},
		engines: map[string]*engine{}, services: map[string]*service{}, offList: map[string]time.Time{}, byClass: map[callClass]int{}, race: func() {}, lastFault: time.Now(),
	}
}

func (w *world) violate(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.violations) < 20 {
		w.violations = append(w.violations, fmt.Sprintf("%s: ", time.Now().Format("04:05.000"))+fmt.Sprintf(format, args...))
	}
}

// next counts a call and returns the fault to apply there, if any.
func (w *world) next(class callClass, engineAddr string) faultKind {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.armed {
		return ""
	}
	w.calls++
	if class == toOrders && w.engines[engineAddr].fencing {
		class = toEndpoints
	}
	w.byClass[class]++
	for _, f := range w.faults {
		if f.only == "" && f.at == w.calls || f.only == class && f.at == w.byClass[class] {
			w.fired++
			w.lastFault = time.Now()
			return f.kind
		}
	}
	return ""
}

func (w *world) arm(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed = on
}

// call passes a call of a process through the faults. again is the effect alone,
// for a late copy whose answer reaches nobody; nil where a copy has no effect.
func (w *world) call(p *process, class callClass, engineAddr string, do func() error, again func()) error {
	if err := p.wait(); err != nil {
		return err
	}
	kind := w.next(class, engineAddr)
	if class == toOrders || class == toServices {
		class = toEndpoints
	}
	w.begin(kind, p, engineAddr)
	if err := w.blocked(p, class); err != nil {
		return err
	}
	switch kind {
	case killBefore:
		p.kill()
		return errDead
	case killAfter:
		_ = do()
		p.kill()
		return errDead
	case lostAnswer:
		_ = do()
		return lostError(class)
	case pauseBefore:
		p.pause(pauseFor)
	case pauseAfter:
		err := do()
		p.pause(pauseFor)
		if waitErr := p.wait(); waitErr != nil {
			return waitErr
		}
		return err
	case duplicate:
		w.deliverLate(again)
	}
	if err := p.wait(); err != nil {
		return err
	}
	return do()
}

func (w *world) deliverLate(again func()) {
	if again == nil {
		return
	}
	w.background.Go(func() {
		time.Sleep(lateBy)
		again()
	})
}

// begin starts the faults that last.
func (w *world) begin(kind faultKind, p *process, engineAddr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch kind {
	case cutPeers:
		p.cut(toPeers)
	case cutPlatform:
		p.cut(toPlatform)
	case cutEndpoints:
		p.cut(toEndpoints)
	case outage:
		w.downUntil = time.Now().Add(outageFor)
	case slowStore:
		w.slowUntil = time.Now().Add(slowFor)
	case crashEngine:
		if e := w.engines[engineAddr]; e != nil {
			w.background.Go(e.crash)
		}
	case racer:
		w.background.Go(w.race)
	}
}

// blocked returns the error of a call that a lasting fault stops.
func (w *world) blocked(p *process, class callClass) error {
	w.mu.Lock()
	down := class == toPlatform && time.Now().Before(w.downUntil)
	slow := class == toPlatform && time.Now().Before(w.slowUntil)
	w.mu.Unlock()
	if down {
		return burdockyard.ErrUnavailable
	}
	if slow {
		time.Sleep(slowDelay)
	}
	if p.isCut(class) {
		time.Sleep(callTimeout)
		return notSentError(class)
	}
	return nil
}

func lostError(class callClass) error {
	if class == toEndpoints {
		return burdockyard.ErrInterrupted
	}
	return errLost
}

func notSentError(class callClass) error {
	switch class {
	case toEndpoints:
		return burdockyard.ErrNotStarted
	case toPlatform:
		return burdockyard.ErrUnavailable
	default:
		return errLost
	}
}

// platform is the platform as one process reaches it.
type platform struct {
	w *world
	p *process
}

func (x platform) Get(ctx context.Context, keys ...string) (rows []burdockyard.Row, err error) {
	err = x.w.call(x.p, toPlatform, "", func() error {
		rows, err = x.w.table.Get(ctx, keys...)
		return err
	}, nil)
	return rows, err
}

func (x platform) Commit(ctx context.Context, txn burdockyard.Txn) error {
	return x.w.call(x.p, toPlatform, "", func() error { return x.w.table.Commit(ctx, txn) },
		func() { _ = x.w.table.Commit(ctx, txn) })
}

// VMs implements burdockyard.VMList. In the matrix no VM is ever lost, so that
// proof has to come from the processes.
func (x platform) VMs(context.Context) ([]burdockyard.VM, error) {
	x.w.mu.Lock()
	defer x.w.mu.Unlock()
	var vms []burdockyard.VM
	for addr := range x.w.nodes {
		if at, lost := x.w.offList[addr]; !lost || time.Now().Before(at) {
			vms = append(vms, burdockyard.VM{ID: addr, Addr: addr})
		}
	}
	return vms, nil
}

type objects struct{ platform }

func (x objects) Put(ctx context.Context, key string, data []byte) error {
	return x.w.call(x.p, toPlatform, "", func() error { return x.w.objects.Put(ctx, key, data) },
		func() { _ = x.w.objects.Put(ctx, key, data) })
}

func (x objects) Get(ctx context.Context, key string) (data []byte, err error) {
	err = x.w.call(x.p, toPlatform, "", func() error {
		data, err = x.w.objects.Get(ctx, key)
		return err
	}, nil)
	return data, err
}
