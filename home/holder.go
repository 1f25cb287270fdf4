package home

import "citronusher.example/citronusher"

// maxBuffered is the number of bytes of an answer that are buffered until the exchange ends. Longer answers are streamed,
// so that a result of any size needs bounded memory.
const maxBuffered = 64 << 10

// answerBuffer buffers the end of an answer until the outcome is certain, so that the answer can be replaced by an error.
type answerBuffer struct {
	sink     citronusher.Sink
	check    func() error // verifies the statements that have begun to answer
	buffered []byte
	streamed bool
	begun    bool // the statement that is answering has returned a row
	checked  bool // it was verified after that row
}

// write adds encoded messages. If the buffer would exceed the limit, it first verifies its content and passes it to the
// sink. A statement reads the log as of its first row, so that it is verified once.
func (h *answerBuffer) write(raw []byte) error {
	if len(h.buffered)+len(raw) > maxBuffered && len(h.buffered) > 0 {
		if err := h.verify(); err != nil {
			return err
		}
		if err := h.flush(); err != nil {
			return err
		}
		h.streamed = true
	}
	switch {
	case endsStatement(raw):
		h.begun, h.checked = false, false
	case raw[0] == dataRow && !h.begun:
		h.begun, h.checked = true, false
	}
	h.buffered = append(h.buffered, raw...)
	return nil
}

// dataRow is the type of the message that holds a row.
const dataRow = 'D'

// endsStatement reports whether another statement may answer after a message: a command tag, an error or PortalSuspended.
func endsStatement(raw []byte) bool { return raw[0] == 'C' || raw[0] == 'E' || raw[0] == 's' }

// verify verifies the statements in the buffer unless that was done after the first row of the last one.
func (h *answerBuffer) verify() error {
	if h.checked {
		return nil
	}
	h.checked = true
	return h.check()
}

// flush passes the buffered messages to the sink.
func (h *answerBuffer) flush() error {
	if len(h.buffered) == 0 {
		return nil
	}
	err := h.sink(h.buffered)
	h.buffered = h.buffered[:0]
	return err
}

// discard removes the buffered messages.
func (h *answerBuffer) discard() { h.buffered, h.begun, h.checked = h.buffered[:0], false, false }
