package member

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"citronusher.example/citronusher"
)

var controlPattern = regexp.MustCompile(`(?i)^select group_(state|fence|promote|follow|log)\((.*)\)$`)

// answer is a control function's result: column names and text rows.
type answer struct {
	names []string
	rows  [][]string
}

// control runs a group function. ok is false when the statement is not one.
func (m *Member) control(query string) (result answer, ok bool, err error) {
	match := controlPattern.FindStringSubmatch(strings.TrimRight(strings.TrimSpace(query), ";"))
	if match == nil {
		return answer{}, false, nil
	}
	arguments := strings.Split(match[2], ",")
	for i := range arguments {
		arguments[i] = strings.Trim(strings.TrimSpace(arguments[i]), "'")
	}
	number, _ := strconv.ParseUint(arguments[0], 10, 64)
	text := arguments[len(arguments)-1]
	switch strings.ToLower(match[1]) {
	case "fence":
		err = m.fence(number, text)
	case "promote":
		err = m.promote(number, text)
	case "follow":
		err = m.follow(number, text)
	case "log":
		return m.logAnswer(number), true, nil
	}
	return m.stateAnswer(), true, err
}

func (m *Member) fence(term uint64, claimant string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if term <= m.term {
		return fmt.Errorf("%w: member holds term %d", citronusher.ErrFenced, m.term)
	}
	m.term = term
	m.claimant = claimant
	m.role = citronusher.RoleReplica
	m.upstream = ""
	return nil
}

func (m *Member) promote(term uint64, claimant string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if term != m.term || claimant != m.claimant {
		return fmt.Errorf("%w: member holds term %d of %s", citronusher.ErrFenced, m.term, m.claimant)
	}
	if m.role == citronusher.RolePrimary {
		return nil
	}
	m.role = citronusher.RolePrimary
	m.upstream = ""
	m.log.branches = append(m.log.branches, citronusher.NewTermStart(term, m.log.offset()))
	return nil
}

func (m *Member) follow(term uint64, address string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if term < m.term || (term == m.term && m.role == citronusher.RolePrimary) {
		return fmt.Errorf("%w: member holds term %d", citronusher.ErrFenced, m.term)
	}
	m.term = term
	m.role = citronusher.RoleReplica
	m.upstream = address
	return nil
}

// stateAnswer is one column: role, term, term and offset of the log's end, milliseconds since the primary was heard,
// milliseconds since the data was complete, and branches.
func (m *Member) stateAnswer() answer {
	m.mu.Lock()
	defer m.mu.Unlock()
	position := m.log.position()
	now := time.Now()
	heard, age := now.Sub(m.heardAt), now.Sub(m.freshAt)
	if m.role == citronusher.RolePrimary {
		heard, age = 0, 0
	}
	state := fmt.Sprintf("%s %d %d %d %d %d %s", m.role, m.term, position.Term(), position.Offset(),
		heard.Milliseconds(), age.Milliseconds(), citronusher.FormatTermStarts(m.log.branches))
	return answer{names: []string{"state"}, rows: [][]string{{state}}}
}

// logAnswer returns the records past offset, waiting a little when there are none.
func (m *Member) logAnswer(offset uint64) answer {
	waitDeadline := time.Now().Add(logWait)
	for {
		m.mu.Lock()
		if m.role != citronusher.RolePrimary {
			m.mu.Unlock()
			return answer{names: []string{"record"}}
		}
		records := m.log.after(offset, logBatch)
		grown := m.grown
		m.mu.Unlock()
		if len(records) > 0 || time.Now().After(waitDeadline) {
			result := answer{names: []string{"record"}}
			for _, body := range records {
				result.rows = append(result.rows, []string{string(body)})
			}
			return result
		}
		select {
		case <-grown:
		case <-time.After(time.Until(waitDeadline)):
		}
	}
}
