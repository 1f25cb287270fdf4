package home

import (
	"bytes"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

// TestRowsAreVerifiedAfterTheyBegan guards against rows that are passed on unverified: the buffer was verified when the
// statement had been described, but had not begun to answer.
func TestRowsAreVerifiedAfterTheyBegan(t *testing.T) {
	rows, checkedAfter := 0, -1
	h := &answerBuffer{
		sink:  func([]byte) error { return nil },
		check: func() error { checkedAfter = rows; return nil },
	}
	row := &pgproto3.DataRow{Values: [][]byte{bytes.Repeat([]byte("r"), maxBuffered-100)}}
	write := func(m pgproto3.BackendMessage) {
		t.Helper()
		raw, err := m.Encode(nil)
		if err != nil {
			t.Fatal(err)
		}
		if err := h.write(raw); err != nil {
			t.Fatal(err)
		}
	}
	write(row)
	write(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
	write(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: bytes.Repeat([]byte("n"), 200)}}})
	for range 2 { // rows of the second statement, the first of which is passed on
		rows++
		write(row)
	}
	if !h.streamed || checkedAfter < 1 {
		t.Errorf("rows of the second statement were passed on, verified when %d of them had arrived", checkedAfter)
	}
}
