//go:build review

// Command values plays a requester that sets a session value inside a transaction before its commit. It checks PINNED.
package main

import (
	"fmt"
	"maps"
	"sync"
	"time"

	"citronusher.example/citronusher/review/lab"
)

const (
	daemons = 6
	budget  = 5 * time.Second
	rounds  = 20
)

type commits struct {
	mu     sync.Mutex
	values map[string]map[string]string // on the member's connection, by the id of the COMMIT
}

func (x *commits) of(id string) map[string]string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.values[id]
}

func main() { lab.Main(play) }

func play(r *lab.Record, folder string, trouble bool) (int, error) {
	x := &commits{values: map[string]map[string]string{}}
	platform := lab.New(lab.Options{
		Slots: 2, Connections: 16, Lag: 8 * time.Millisecond, Promotion: time.Second, StatementDuration: 2 * time.Millisecond,
		OnCommit: func(member, id string, values map[string]string) {
			x.mu.Lock()
			defer x.mu.Unlock()
			x.values[id] = values
			r.Line("member %s commits %s with values %v", member, id, values)
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
	return transactions(r, fleet[0].Entry, x, trouble)
}

// transactions plays transactions of one session. Each sets a value, with trouble between the last write and the commit.
func transactions(r *lab.Record, entry string, x *commits, trouble bool) (int, error) {
	s, err := lab.OpenSession(r, entry, "reports", "clerk")
	if err != nil {
		return lab.NotRun, err
	}
	acknowledged, wrong := map[string]string{}, 0
	for n := range rounds {
		set, write := fmt.Sprintf("SET actor clerk%d", n), fmt.Sprintf("WRITE route v%d", n)
		texts := []string{"BEGIN", set, write, "COMMIT"}
		if trouble {
			texts = []string{"BEGIN", write, set, "COMMIT"}
		}
		for _, text := range texts {
			p, err := s.Ask(text, budget)
			if err != nil || !p.OK() {
				return lab.NotRun, fmt.Errorf("%s: %s %w", p.ID, p.Code, err)
			}
			switch text {
			case set:
				acknowledged["actor"] = fmt.Sprintf("clerk%d", n)
			case "COMMIT":
				if got := x.of(p.ID); !maps.Equal(got, acknowledged) {
					if wrong++; wrong <= 4 {
						r.Say("PINNED: %s COMMIT ran with the values %v, acknowledged were %v", p.ID, got, acknowledged)
					}
				}
			}
		}
	}
	r.Say("%d commits, %d of them with values that differ from the acknowledged ones", rounds, wrong)
	if wrong > 0 {
		return lab.Broken, nil
	}
	return lab.Held, nil
}
