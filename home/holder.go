package home

import "citronusher.example/citronusher"

// holdLimit is how many bytes of an answer wait for the end of the exchange. Longer answers stream, so that a result of
// any size needs bounded memory.
const holdLimit = 64 << 10

// holder keeps the end of an answer back until the outcome is certain.
type holder struct {
	sink     citronusher.Sink
	held     []byte
	streamed bool
}

// write takes encoded messages; it passes on what exceeds the limit.
func (h *holder) write(raw []byte) error {
	if len(h.held)+len(raw) > holdLimit && len(h.held) > 0 {
		if err := h.release(); err != nil {
			return err
		}
		h.streamed = true
	}
	h.held = append(h.held, raw...)
	return nil
}

// release passes on what is held.
func (h *holder) release() error {
	if len(h.held) == 0 {
		return nil
	}
	err := h.sink(h.held)
	h.held = h.held[:0]
	return err
}

// discard drops what is held.
func (h *holder) discard() { h.held = h.held[:0] }
