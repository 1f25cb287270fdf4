//go:build review

package lab

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
)

// SetCut partitions a member from the processes with the given ids, or from none. What they send is dropped.
func (m *Member) SetCut(pids []int) {
	m.withLock(func() {
		m.cut = map[int]bool{}
		for _, pid := range pids {
			m.cut[pid] = true
		}
	})
}

// isCut reports whether the member is partitioned from the process at the other end of a session.
func (s *memberSession) isCut() bool {
	s.member.group.mu.Lock()
	cut := s.member.cut
	s.member.group.mu.Unlock()
	return len(cut) > 0 && cut[s.owner()]
}

// findOwner looks up the process at the other end of a connection, as ownerOf does. It does not wait for the result; the
// function that it returns does.
func findOwner(conn net.Conn, pids []int) func() int {
	found := make(chan int, 1)
	go func() { found <- ownerOf(conn, pids) }()
	return sync.OnceValue(func() int { return <-found })
}

// ownerOf returns the id of the process among pids that has the other end of a loopback connection, and 0 when none has.
func ownerOf(conn net.Conn, pids []int) int {
	remote, ok := conn.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return 0
	}
	inode := inodeOf(remote.Port)
	if inode == "" {
		return 0
	}
	for _, pid := range pids {
		links, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
		if err != nil {
			return 0
		}
		for _, link := range links {
			if target, err := os.Readlink(link); err == nil && target == "socket:["+inode+"]" {
				return pid
			}
		}
	}
	return 0
}

// inodeOf returns the inode of the socket whose local port is port.
func inodeOf(port int) string {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer file.Close()
	suffix := fmt.Sprintf(":%04X", port)
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if !bytes.Contains(lines.Bytes(), []byte(suffix)) {
			continue // most lines: the table is long on a busy machine
		}
		fields := strings.Fields(lines.Text())
		if len(fields) > 9 && strings.HasSuffix(fields[1], suffix) && fields[3] == "01" {
			if _, err := strconv.Atoi(fields[9]); err == nil && fields[9] != "0" {
				return fields[9]
			}
		}
	}
	return ""
}
