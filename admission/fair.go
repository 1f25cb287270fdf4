package admission

import "slices"

// fairQueue serves callers round-robin, and each caller's requests in order of arrival.
type fairQueue struct {
	callers []string // in round-robin order
	waiting map[string][]*Ticket
	size    int
}

func (f *fairQueue) push(t *Ticket) {
	if f.waiting == nil {
		f.waiting = map[string][]*Ticket{}
	}
	if len(f.waiting[t.caller]) == 0 {
		f.callers = append(f.callers, t.caller)
	}
	f.waiting[t.caller] = append(f.waiting[t.caller], t)
	f.size++
}

func (f *fairQueue) pop() *Ticket {
	caller := f.callers[0]
	f.callers = f.callers[1:]
	t := f.waiting[caller][0]
	f.waiting[caller] = f.waiting[caller][1:]
	f.size--
	if len(f.waiting[caller]) > 0 {
		f.callers = append(f.callers, caller)
	} else {
		delete(f.waiting, caller)
	}
	return t
}

func (f *fairQueue) remove(t *Ticket) bool {
	tickets := f.waiting[t.caller]
	i := slices.Index(tickets, t)
	if i < 0 {
		return false
	}
	f.size--
	f.waiting[t.caller] = slices.Delete(tickets, i, i+1)
	if len(f.waiting[t.caller]) == 0 {
		delete(f.waiting, t.caller)
		f.callers = slices.DeleteFunc(f.callers, func(c string) bool { return c == t.caller })
	}
	return true
}
