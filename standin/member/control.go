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

// answer is the result of a group function: column names and rows of text.
type answer struct {
	names []string
	rows  [][]string
}

// control runs a group function, such as group_fence. ok is false if the statement is not one.
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

// fence makes the member a replica without upstream under a higher term, for a claimant.
func (m *Member) fence(term uint64, claimant string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if term <= m.term {
		return fmt.Errorf("%w: member is at term %d", citronusher.ErrFenced, m.term)
	}
	m.term = term
	m.claimant = claimant
	m.role = citronusher.RoleReplica
	m.upstream = ""
	return nil
}

// promote makes the member the primary of the term for which the claimant fenced it.
func (m *Member) promote(term uint64, claimant string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if term != m.term || claimant != m.claimant {
		return fmt.Errorf("%w: member is at term %d, claimed by %s", citronusher.ErrFenced, m.term, m.claimant)
	}
	if m.role == citronusher.RolePrimary {
		return nil
	}
	m.role = citronusher.RolePrimary
	m.upstream = ""
	m.log.termStarts = append(m.log.termStarts, citronusher.NewTermStart(term, m.log.offset()))
	return nil
}

// follow makes the member replicate from address. It is rejected for a lower term and on the primary of the term.
func (m *Member) follow(term uint64, address string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if term < m.term || (term == m.term && m.role == citronusher.RolePrimary) {
		return fmt.Errorf("%w: member is at term %d", citronusher.ErrFenced, m.term)
	}
	m.term = term
	m.role = citronusher.RoleReplica
	m.upstream = address
	return nil
}

// stateAnswer returns one text column: role, term, term and offset of the log's end, milliseconds since the primary's last
// response, milliseconds since all received records were applied, and the term starts.
func (m *Member) stateAnswer() answer {
	m.mu.Lock()
	defer m.mu.Unlock()
	position := m.log.position()
	now := time.Now()
	sinceResponse, age := now.Sub(m.lastResponseAt), now.Sub(m.freshAt)
	if m.role == citronusher.RolePrimary {
		sinceResponse, age = 0, 0
	}
	state := fmt.Sprintf("%s %d %d %d %d %d %s", m.role, m.term, position.Term(), position.Offset(),
		sinceResponse.Milliseconds(), age.Milliseconds(), citronusher.FormatTermStarts(m.log.termStarts))
	return answer{names: []string{"state"}, rows: [][]string{{state}}}
}

// logAnswer returns the records after offset. If there are none, it waits for them for up to logWaitTimeout.
func (m *Member) logAnswer(offset uint64) answer {
	waitDeadline := time.Now().Add(logWaitTimeout)
	for {
		m.mu.Lock()
		if m.role != citronusher.RolePrimary {
			m.mu.Unlock()
			return answer{names: []string{"record"}}
		}
		records := m.log.after(offset, maxLogBatch)
		appended := m.logAppended
		m.mu.Unlock()
		if len(records) > 0 || time.Now().After(waitDeadline) {
			result := answer{names: []string{"record"}}
			for _, body := range records {
				result.rows = append(result.rows, []string{string(body)})
			}
			return result
		}
		select {
		case <-appended:
		case <-time.After(time.Until(waitDeadline)):
		}
	}
}
