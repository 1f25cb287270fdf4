//go:build review

// Command shapes plays two requesters that prepare different shapes and execute them in turn. It checks PINNED.
package main

import (
	"fmt"
	"sync"
	"time"

	"citronusher.example/citronusher/review/lab"
)

const (
	daemons = 6
	budget  = 5 * time.Second
	rounds  = 20
	// shapeA and shapeB are two shapes of 64 bytes with the same xxhash64, shapeC one with another.
	shapeA = "grade_of_route_where_id=?_hint=a_limit=1_order_by_revision_desc_"
	shapeB = "qd4eWQb9_route_where_id=?_hint=afZtr_?-I_order_by_revision_desc_"
	shapeC = "height_o_route_where_id=?_hint=a_limit=1_order_by_revision_desc_"
)

type ran struct {
	mu     sync.Mutex
	shapes map[string]string
}

func (x *ran) of(id string) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.shapes[id]
}

func main() { lab.Main(play) }

func play(r *lab.Record, folder string, trouble bool) (int, error) {
	x := &ran{shapes: map[string]string{}}
	platform := lab.New(lab.Options{
		Slots: 2, Connections: 16, Lag: 8 * time.Millisecond, Promotion: time.Second, StatementDuration: 2 * time.Millisecond,
		OnExecute: func(member, id, action, shape string) {
			x.mu.Lock()
			defer x.mu.Unlock()
			x.shapes[id] = action + " " + shape
			r.Line("member %s executes %s: %s %s", member, id, action, shape)
		},
	})
	defer platform.Close()
	if _, err := platform.AddGroup("guide", 3); err != nil {
		return lab.NotRun, err
	}
	platform.Route("reports", "primary", "guide", 0, 800)
	var fleet []*lab.Daemon
	defer func() {
		for _, d := range fleet {
			d.Stop()
		}
	}()
	for i := range daemons {
		d, err := lab.StartDaemon(folder, lab.Settings{
			Name: fmt.Sprintf("front-%d", i+1), Domain: fmt.Sprintf("zone-%d", i%4+1), Store: platform.Address(),
			Promotion: platform.Address(), Cores: 0.4, First: true, GraceS: 6,
		})
		if err != nil {
			return lab.NotRun, err
		}
		fleet = append(fleet, d)
	}
	for _, d := range fleet {
		if err := lab.Until(d.Name+" ready", 20*time.Second, d.Ready); err != nil {
			return lab.NotRun, err
		}
	}
	other := shapeB
	if !trouble {
		other = shapeC
	}
	return twoRequesters(r, fleet[0].Entry, x, other)
}

func twoRequesters(r *lab.Record, entry string, x *ran, other string) (int, error) {
	first, err := open(r, entry, "first", shapeA)
	if err != nil {
		return lab.NotRun, err
	}
	second, err := open(r, entry, "second", other)
	if err != nil {
		return lab.NotRun, err
	}
	executed, wrong := 0, 0
	for n := range rounds {
		for _, s := range []struct {
			*lab.Requester
			shape string
		}{{first, shapeA}, {second, other}} {
			for _, e := range []struct{ text, want string }{
				{"EXECUTE s1 route", "READ " + s.shape}, {fmt.Sprintf("EXECUTE s2 route v%d", n), "WRITE " + s.shape},
			} {
				p, err := s.Ask(e.text, budget)
				if err != nil || !p.OK() {
					return lab.NotRun, fmt.Errorf("%s: %s %w", p.ID, p.Code, err)
				}
				executed++
				if got := x.of(p.ID); got != e.want {
					if wrong++; wrong <= 4 {
						r.Say("PINNED: %s %q: prepared %q, the member ran %q", p.ID, e.text, e.want, got)
					}
				}
			}
		}
	}
	r.Say("%d prepared statements executed, %d of them with the shape of another requester", executed, wrong)
	if wrong > 0 {
		return lab.Broken, nil
	}
	return lab.Held, nil
}

// open opens a session that has prepared a read and a write of the shape, under the names that the other one uses too.
func open(r *lab.Record, entry, name, shape string) (*lab.Requester, error) {
	s, err := lab.OpenSession(r, entry, "reports", name)
	if err != nil {
		return nil, err
	}
	for _, text := range []string{"PREPARE s1 READ " + shape, "PREPARE s2 WRITE " + shape} {
		if p, err := s.Ask(text, budget); err != nil || !p.OK() {
			return nil, fmt.Errorf("%s: %s %w", text, p.Code, err)
		}
	}
	return s, nil
}
