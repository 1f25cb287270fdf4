package proxy

import "citronusher.example/citronusher"

const (
	// maxSessionEntries is the maximum number of prepared statements, and of session values, of one session.
	maxSessionEntries = 1000
	// maxSessionBytes is the maximum size of these with their names. One message fits several times.
	maxSessionBytes = 4 << 20
	// maxStateBytes is the same for all sessions of the daemon together. It leaves most of a small machine's memory free.
	maxStateBytes = 64 << 20
)

func (s *session) set(statement citronusher.Statement) error {
	before, known := s.values[statement.Name]
	if !known && len(s.values) >= maxSessionEntries {
		return s.fail(citronusher.NewNotRun(citronusher.ReasonInput,
			"a session cannot have more than %d session values", maxSessionEntries))
	}
	if err := s.resize(entrySize(statement.Name, before, known), entrySize(statement.Name, statement.Value, true)); err != nil {
		return s.fail(err)
	}
	s.values[statement.Name] = statement.Value
	return nil
}

func (s *session) prepare(statement citronusher.Statement) error {
	before, known := s.prepared[statement.Name]
	if !known && len(s.prepared) >= maxSessionEntries {
		return s.fail(citronusher.NewNotRun(citronusher.ReasonInput,
			"a session cannot have more than %d prepared statements", maxSessionEntries))
	}
	size := entrySize(statement.Name, statement.Value, true)
	if err := s.resize(entrySize(statement.Name, before.Text, known), size); err != nil {
		return s.fail(err)
	}
	s.prepared[statement.Name] = citronusher.PreparedStatement{Text: statement.Value, Writes: statement.Writes}
	return nil
}

func (s *session) deallocate(statement citronusher.Statement) error {
	prepared, ok := s.prepared[statement.Name]
	if !ok {
		return s.fail(citronusher.NewNotRun(citronusher.ReasonStatement,
			"prepared statement %s does not exist", statement.Name))
	}
	delete(s.prepared, statement.Name)
	return s.resize(entrySize(statement.Name, prepared.Text, true), 0)
}

// entrySize returns the size of a session value or a prepared statement, in bytes; 0 if it is not known.
func entrySize(name, value string, known bool) int64 {
	if !known {
		return 0
	}
	return int64(len(name) + len(value))
}

// resize counts an entry of the session as replaced by one of another size. It fails, and counts nothing, if the entries of
// the session or of all sessions would become too large.
func (s *session) resize(before, after int64) error {
	growth := after - before
	if growth > 0 && s.stateBytes+growth > maxSessionBytes {
		return citronusher.NewNotRun(citronusher.ReasonInput,
			"the session values and prepared statements of a session cannot exceed %d bytes", maxSessionBytes)
	}
	if total := s.proxy.stateBytes.Add(growth); growth > 0 && total > maxStateBytes {
		s.proxy.stateBytes.Add(-growth)
		return citronusher.NewNotRun(citronusher.ReasonFull,
			"the sessions of this daemon have too many session values and prepared statements; try again at another one")
	}
	s.stateBytes += growth
	return nil
}

// clearState forgets the session's values and prepared statements.
func (s *session) clearState() {
	s.proxy.stateBytes.Add(-s.stateBytes)
	s.stateBytes = 0
	clear(s.values)
	clear(s.prepared)
}
