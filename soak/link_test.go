package soak

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	soon = 2 * time.Second       // for what has to happen
	some = 60 * time.Millisecond // for what must not happen
)

// echo answers each line that arrives with the same line.
type echo struct {
	listener net.Listener
	tasks    errgroup.Group
}

func startEcho(t *testing.T, address string) *echo {
	t.Helper()
	listener, err := net.Listen("tcp", address) //nolint:noctx // closed by the test
	if err != nil {
		t.Fatal(err)
	}
	e := &echo{listener: listener}
	e.tasks.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil //nolint:nilerr // closed
			}
			e.tasks.Go(func() error { answer(conn); return nil })
		}
	})
	return e
}

func answer(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		if _, err := conn.Write([]byte(line)); err != nil {
			return
		}
	}
}

func (e *echo) stop() {
	e.listener.Close()
	_ = e.tasks.Wait() // no errors
}

// newEchoLink starts a link to an echo.
func newEchoLink(t *testing.T) (*link, *echo) {
	t.Helper()
	e := startEcho(t, "127.0.0.1:0")
	l, err := newLink(e.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := l.close(); err != nil {
			t.Error(err)
		}
		e.stop()
	})
	return l, e
}

// open opens a connection through a link once it accepts them.
func open(t *testing.T, l *link) net.Conn {
	t.Helper()
	deadline := time.Now().Add(soon)
	for {
		conn, err := net.Dial("tcp", l.address) //nolint:noctx // closed by the test
		if err == nil {
			t.Cleanup(func() { conn.Close() })
			return conn
		}
		if time.Now().After(deadline) {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
	}
}

// exchange sends a line, and reports whether the same line returns within limit.
func exchange(t *testing.T, conn net.Conn, line string, limit time.Duration) bool {
	t.Helper()
	if line != "" {
		if _, err := conn.Write([]byte(line)); err != nil {
			t.Fatal(err)
		}
	}
	if err := conn.SetReadDeadline(time.Now().Add(limit)); err != nil {
		t.Fatal(err)
	}
	_, err := conn.Read(make([]byte, chunkBytes))
	return err == nil
}

// TestLinkDelivers checks that a silent direction keeps what is sent until the link works again, and that a delay is kept.
func TestLinkDelivers(t *testing.T) {
	l, _ := newEchoLink(t)
	conn := open(t, l)
	if !exchange(t, conn, "a\n", soon) {
		t.Fatal("no answer")
	}
	for d := range directions {
		i := impairment{}
		i.silent[d] = true
		end := l.impair(&i)
		if exchange(t, conn, "b\n", some) {
			t.Errorf("direction %d: an answer through a silent link", d)
		}
		end()
		if !exchange(t, conn, "", soon) {
			t.Errorf("direction %d: no answer when the link works again", d)
		}
	}
	end := l.impair(&impairment{delay: [directions]time.Duration{some, some}})
	defer end()
	sentAt := time.Now()
	if !exchange(t, conn, "c\n", soon) || time.Since(sentAt) < directions*some {
		t.Errorf("an answer after %s, want %s at least", time.Since(sentAt), directions*some)
	}
}

// TestLinkRefuses checks that a link that refuses resets its connections and that new ones are refused, as they are while
// the target refuses them.
func TestLinkRefuses(t *testing.T) {
	l, e := newEchoLink(t)
	conn := open(t, l)
	if !exchange(t, conn, "a\n", soon) {
		t.Fatal("no answer")
	}
	end := l.impair(&impairment{refuse: true})
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("open connection: %v", err)
	}
	awaitRefused(t, l)
	end()
	conn = open(t, l)
	if !exchange(t, conn, "b\n", soon) {
		t.Error("no answer when the link works again")
	}
	conn.Close()
	address := e.listener.Addr().String()
	e.stop()
	awaitRefused(t, l)
	other := startEcho(t, address)
	defer other.stop()
	conn = open(t, l)
	defer conn.Close()
	if !exchange(t, conn, "c\n", soon) {
		t.Error("no answer of the restarted target")
	}
	conn.Close()
}

func awaitRefused(t *testing.T, l *link) {
	t.Helper()
	for deadline := time.Now().Add(soon); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		conn, err := net.Dial("tcp", l.address) //nolint:noctx // closed at once
		if errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		if err == nil {
			conn.Close()
		}
	}
	t.Error("connections are not refused")
}

// TestLinkLosesWhatIsReset checks that what a silent link holds of a connection is lost when its sender resets it.
func TestLinkLosesWhatIsReset(t *testing.T) {
	received := make(chan string, 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // closed below
	if err != nil {
		t.Fatal(err)
	}
	var tasks errgroup.Group
	tasks.Go(func() error {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		defer conn.Close()
		line, _ := bufio.NewReader(conn).ReadString('\n')
		received <- line
		return nil
	})
	l, err := newLink(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	i := impairment{}
	i.silent[forth] = true
	end := l.impair(&i)
	conn := open(t, l)
	if _, err := conn.Write([]byte("lost\n")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(some)
	reset(conn)
	time.Sleep(some)
	end()
	if line := <-received; line != "" {
		t.Errorf("received %q", line)
	}
	if err := errors.Join(l.close(), listener.Close(), tasks.Wait()); err != nil {
		t.Error(err)
	}
}
