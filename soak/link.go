package soak

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	chunkBytes       = 32 << 10
	chunkBacklog     = 256 // chunks that one direction of a connection holds at most
	linkDialTimeout  = 2 * time.Second
	targetPollTime   = 10 * time.Millisecond // between two attempts to reach a target that refuses connections
	relistenPollTime = 5 * time.Millisecond
	directions       = 2
	forth            = 0 // from the daemon to the target
	back             = 1
)

// impairment is what a link does to its connections.
type impairment struct {
	refuse bool                      // connections are reset, and new ones refused
	silent [directions]bool          // what is sent in a direction is kept, and arrives when the link works again
	delay  [directions]time.Duration // added to what is sent in a direction
}

// link relays connections from one daemon to one target. It refuses connections while its target does.
type link struct {
	address, target string
	tasks           errgroup.Group

	mu          sync.Mutex
	impairments map[*impairment]struct{}
	state       impairment    // what the impairments do together
	changed     chan struct{} // closed and replaced when the state changes or the link closes
	listener    net.Listener  // nil while connections are refused
	down        bool          // the target refuses connections
	closed      bool
	conns       map[net.Conn]struct{}
}

// newLink starts a link to a target.
func newLink(target string) (*link, error) {
	address, err := freePort()
	if err != nil {
		return nil, err
	}
	l := &link{address: address, target: target, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	l.impairments = map[*impairment]struct{}{}
	l.tasks.Go(func() error { l.listen(); return nil })
	return l, nil
}

// impair adds an impairment to the link's until the returned function is called.
func (l *link) impair(added *impairment) (end func()) {
	l.update(func() { l.impairments[added] = struct{}{} })
	return func() { l.update(func() { delete(l.impairments, added) }) }
}

// update changes the link's impairments and applies them.
func (l *link) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	l.state = impairment{}
	for i := range l.impairments {
		l.state.add(*i)
	}
	if l.state.refuse {
		l.refuse()
	}
	l.notify()
}

func (i *impairment) add(other impairment) {
	i.refuse = i.refuse || other.refuse
	for d := range directions {
		i.silent[d] = i.silent[d] || other.silent[d]
		i.delay[d] = max(i.delay[d], other.delay[d])
	}
}

// notify wakes what waits for a change. The caller holds mu.
func (l *link) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// refuse closes the listener and resets the connections. The caller holds mu.
func (l *link) refuse() {
	if l.listener != nil {
		l.listener.Close()
		l.listener = nil
	}
	for conn := range l.conns {
		reset(conn)
	}
}

func (l *link) close() error {
	l.mu.Lock()
	l.closed = true
	l.refuse()
	l.notify()
	l.mu.Unlock()
	return l.tasks.Wait()
}

// wait returns the state and a channel that is closed when it changes.
func (l *link) wait() (state impairment, changed <-chan struct{}, closed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.changed, l.closed
}

// listen accepts connections while the link and its target do not refuse them, until the link closes.
func (l *link) listen() {
	for {
		state, changed, closed := l.wait()
		switch {
		case closed:
			return
		case state.refuse:
			<-changed
		case l.targetDown():
			time.Sleep(targetPollTime)
		default:
			l.acceptAll()
		}
	}
}

// targetDown reports whether the target still refuses connections. It tries to open one only after one was refused.
func (l *link) targetDown() bool {
	l.mu.Lock()
	down := l.down
	l.mu.Unlock()
	if !down {
		return false
	}
	conn, err := net.DialTimeout("tcp", l.target, linkDialTimeout) //nolint:noctx // ends by itself
	if err != nil {
		return true
	}
	conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = false
	return false
}

// acceptAll accepts connections until the listener closes.
func (l *link) acceptAll() {
	listener, err := net.Listen("tcp", l.address) //nolint:noctx // closed by refuse
	if err != nil {
		time.Sleep(relistenPollTime)
		return
	}
	l.mu.Lock()
	if l.closed || l.state.refuse {
		l.mu.Unlock()
		listener.Close()
		return
	}
	l.listener = listener
	l.mu.Unlock()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		l.tasks.Go(func() error { l.serve(conn); return nil })
	}
}

// serve connects one connection with the target and relays until both directions have ended.
func (l *link) serve(conn net.Conn) {
	if !l.keep(conn) {
		return
	}
	defer l.drop(conn)
	target, err := net.DialTimeout("tcp", l.target, linkDialTimeout) //nolint:noctx // ends by itself
	if err != nil {
		reset(conn)
		l.targetRefused(err)
		return
	}
	if !l.keep(target) {
		return
	}
	defer l.drop(target)
	var tasks errgroup.Group
	tasks.Go(func() error { l.pipe(conn, target, forth); return nil })
	tasks.Go(func() error { l.pipe(target, conn, back); return nil })
	_ = tasks.Wait() // no errors
}

// keep adds a connection to those that refuse resets. It resets it at once if connections are refused now.
func (l *link) keep(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.state.refuse {
		reset(conn)
		return false
	}
	l.conns[conn] = struct{}{}
	return true
}

func (l *link) drop(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
	conn.Close()
}

// targetRefused makes the link refuse connections until its target accepts them again.
func (l *link) targetRefused(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if errors.Is(err, syscall.ECONNREFUSED) && l.listener != nil {
		l.down = true
		l.listener.Close()
		l.listener = nil
	}
}

// chunk is what was read from a connection at one time. The last one of a connection has no data and an error.
type chunk struct {
	data   []byte
	readAt time.Time
	err    error
}

// pipe sends what it reads from one connection to the other, as the link's impairment allows.
func (l *link) pipe(from, to net.Conn, direction int) {
	chunks := make(chan chunk, chunkBacklog)
	ended := make(chan struct{})
	l.tasks.Go(func() error {
		if err := readChunks(from, chunks, ended); errors.Is(err, syscall.ECONNRESET) && l.silent(direction) {
			reset(to) // nobody sends again what a link has lost
		}
		return nil
	})
	defer close(ended)
	defer from.Close()
	for c := range chunks {
		if !l.awaitDelivery(c, direction) {
			reset(to)
			return
		}
		if c.err != nil {
			endWrites(to, c.err)
			return
		}
		if _, err := to.Write(c.data); err != nil {
			reset(from)
			return
		}
	}
}

// readChunks reads from a connection until it ends, and returns how it ended.
func readChunks(from net.Conn, chunks chan<- chunk, ended <-chan struct{}) error {
	defer close(chunks)
	for {
		buffer := make([]byte, chunkBytes)
		n, err := from.Read(buffer)
		for _, c := range []chunk{{data: buffer[:n], readAt: time.Now()}, {readAt: time.Now(), err: err}} {
			if len(c.data) == 0 && c.err == nil {
				continue
			}
			select {
			case chunks <- c:
			case <-ended:
				return nil
			}
		}
		if err != nil {
			return err //nolint:wrapcheck // the caller compares it
		}
	}
}

// silent reports whether nothing arrives in a direction.
func (l *link) silent(direction int) bool {
	state, _, _ := l.wait()
	return state.silent[direction]
}

// awaitDelivery waits until a chunk may arrive. It reports false when the link closes first.
func (l *link) awaitDelivery(c chunk, direction int) bool {
	for {
		state, changed, closed := l.wait()
		rest := time.Until(c.readAt.Add(state.delay[direction]))
		switch {
		case closed:
			return false
		case state.silent[direction]:
			<-changed
		case rest > 0:
			select {
			case <-changed:
			case <-time.After(rest):
			}
		default:
			return true
		}
	}
}

// endWrites passes on how the other connection ended: by its end, or by a reset.
func endWrites(to net.Conn, err error) {
	tcp, ok := to.(*net.TCPConn)
	if !ok || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, net.ErrClosed) {
		reset(to)
		return
	}
	if err := tcp.CloseWrite(); err != nil {
		to.Close()
	}
}

// reset closes a connection by a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			return // closed already
		}
	}
	conn.Close()
}
