package home

import "citronusher.example/citronusher"

// maxBuffered is the number of bytes of an answer that are buffered until the exchange ends. Longer answers are streamed,
// so that a result of any size needs bounded memory.
const maxBuffered = 64 << 10

// answerBuffer buffers the end of an answer until the outcome is certain, so that the answer can be replaced by an error.
type answerBuffer struct {
	sink     citronusher.Sink
	buffered []byte
	streamed bool
}

// write adds encoded messages. If the buffer would exceed the limit, it first passes its content to the sink.
func (h *answerBuffer) write(raw []byte) error {
	if len(h.buffered)+len(raw) > maxBuffered && len(h.buffered) > 0 {
		if err := h.flush(); err != nil {
			return err
		}
		h.streamed = true
	}
	h.buffered = append(h.buffered, raw...)
	return nil
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
func (h *answerBuffer) discard() { h.buffered = h.buffered[:0] }
