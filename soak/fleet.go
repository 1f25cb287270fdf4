package soak

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

const instanceTables = "instances" // first letters of the names of the tables in which daemons are registered

// links are the links of one daemon: to the other daemons by name, to the members by address and to the platform.
type links struct {
	peers            map[string]*link
	members          map[string]*link
	store, promotion *link
}

// connect starts the links of every daemon and writes its settings. The daemons and members must be known, and none started.
func (r *run) connect() error {
	for _, p := range r.daemons {
		if err := r.connectDaemon(p); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) connectDaemon(p *process) error {
	p.links = links{peers: map[string]*link{}, members: map[string]*link{}}
	for _, other := range r.daemons {
		if other == p {
			continue
		}
		var err error
		if p.links.peers[other.name], err = newLink(other.peer); err != nil {
			return err
		}
	}
	for _, g := range r.groups {
		for i := range membersPerGroup {
			address := g.Member(i).Address()
			var err error
			if p.links.members[address], err = newLink(address); err != nil {
				return err
			}
		}
	}
	view := r.platform.View(p.translate)
	var errs [2]error
	p.links.store, errs[0] = newLink(view)
	p.links.promotion, errs[1] = newLink(view)
	if err := errors.Join(errs[:]...); err != nil {
		return err
	}
	return p.writeSettings(r.size.drain)
}

// translate replaces the addresses in the store's rows by those of the daemon's own links to them.
func (p *process) translate(table, key string, value []byte) []byte {
	field, address := "Address", func(old string) *link { return p.links.members[old] }
	switch {
	case strings.HasPrefix(table, instanceTables):
		field, address = "peer", func(string) *link { return p.links.peers[key] }
	case table != "servers":
		return value
	}
	var fields map[string]json.RawMessage
	var old string
	if json.Unmarshal(value, &fields) != nil || json.Unmarshal(fields[field], &old) != nil {
		return value
	}
	if l := address(old); l != nil {
		fields[field] = json.RawMessage(fmt.Sprintf("%q", l.address))
	}
	translated, err := json.Marshal(fields)
	if err != nil {
		return value
	}
	return translated
}

// close ends the links.
func (l links) close() error {
	var errs []error
	for _, one := range l.list() {
		errs = append(errs, one.close())
	}
	return errors.Join(errs...)
}

func (l links) list() []*link {
	var list []*link
	for _, one := range l.peers {
		list = append(list, one)
	}
	for _, one := range l.members {
		list = append(list, one)
	}
	for _, one := range []*link{l.store, l.promotion} {
		if one != nil {
			list = append(list, one)
		}
	}
	return list
}
