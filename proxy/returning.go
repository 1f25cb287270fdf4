package proxy

import (
	"time"

	"citronusher.example/citronusher"
)

// rejection is a request of the session that was rejected because the members had no capacity for it.
type rejection struct {
	text      string              // statement text; empty when no request was rejected
	arrivedAt citronusher.Instant // when the caller first sent the request
	deadline  citronusher.Instant // until when the caller is expected to send it again
}

// remainingGoal returns the part of the route's latency goal that is left for the task. A caller that sends a rejected
// request again has waited since it first sent the request: its goal is over sooner, so that at a load peak it does not
// take the place of a caller that can still be served in time.
func (r *rejection) remainingGoal(task citronusher.Task) time.Duration {
	if r.text != task.Statement.Text || task.ArrivedAt >= r.deadline {
		return task.Route.Goal
	}
	return task.Route.Goal - task.ArrivedAt.Sub(r.arrivedAt)
}

// observe records how a task ended. A rejected request that the caller had sent before keeps its first arrival.
func (r *rejection) observe(task citronusher.Task, err error) {
	if err == nil || citronusher.AsFailure(err).Reason() != citronusher.ReasonQueue {
		*r = rejection{}
		return
	}
	if r.text == task.Statement.Text && task.ArrivedAt < r.deadline {
		return
	}
	*r = rejection{text: task.Statement.Text, arrivedAt: task.ArrivedAt, deadline: task.Deadline()}
}
