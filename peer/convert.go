package peer

import (
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/peer/peerpb"
)

func toMessages(messages []citronusher.Message) []*peerpb.Step {
	encoded := make([]*peerpb.Step, len(messages))
	for i, message := range messages {
		encoded[i] = &peerpb.Step{
			Statement: uint32(message.Statement), //nolint:gosec // a small number
			Kind:      uint32(message.Kind), Name: message.Name, Raw: message.Raw,
		}
	}
	return encoded
}

func fromMessages(encoded []*peerpb.Step) []citronusher.Message {
	messages := make([]citronusher.Message, len(encoded))
	for i, message := range encoded {
		messages[i] = citronusher.Message{
			Statement: citronusher.StatementKind(message.GetStatement()),
			Kind:      byte(message.GetKind()), //nolint:gosec // the kind is one byte
			Name:      message.GetName(), Raw: message.GetRaw(),
		}
	}
	return messages
}

func toPosition(p citronusher.Position) *peerpb.Position {
	return &peerpb.Position{Term: p.Term(), Offset: p.Offset()}
}

func fromPosition(p *peerpb.Position) citronusher.Position {
	return citronusher.NewPosition(p.GetTerm(), p.GetOffset())
}

// toRequest encodes a request. The deadline is sent as the remaining time, because the daemons' clocks differ.
func toRequest(r citronusher.Request, now time.Time) *peerpb.RunRequest {
	return &peerpb.RunRequest{
		Database: r.Database, Profile: r.Profile, Caller: r.Caller, Id: r.ID, Seen: toPosition(r.MinPosition),
		Known:     r.PositionKnown,
		Remaining: r.Deadline.Sub(now).Milliseconds(), Steps: toMessages(r.Exchange.Messages),
		Needs:   toMessages(r.Exchange.RequiredStatements),
		Partial: r.Exchange.Partial,
	}
}

func fromRequest(m *peerpb.RunRequest, now time.Time) citronusher.Request {
	return citronusher.Request{
		Database: m.GetDatabase(), Profile: m.GetProfile(), Caller: m.GetCaller(), ID: m.GetId(),
		MinPosition: fromPosition(m.GetSeen()), PositionKnown: m.GetKnown(),
		Deadline: now.Add(time.Duration(m.GetRemaining()) * time.Millisecond),
		Exchange: citronusher.Exchange{
			Messages: fromMessages(m.GetSteps()), RequiredStatements: fromMessages(m.GetNeeds()), Partial: m.GetPartial(),
		},
	}
}

func toResult(r citronusher.Result) *peerpb.Result {
	return &peerpb.Result{
		Status: uint32(r.Status), Position: toPosition(r.Position), Replica: r.Replica, Pinned: r.Pinned, Failed: r.Failed,
	}
}

func fromResult(m *peerpb.Result) citronusher.Result {
	return citronusher.Result{
		//nolint:gosec // the status is one byte
		Status: byte(m.GetStatus()), Position: fromPosition(m.GetPosition()), Replica: m.GetReplica(),
		Pinned: m.GetPinned(), Failed: m.GetFailed(),
	}
}

func toFailure(f *citronusher.Failure) *peerpb.Failure {
	//nolint:gosec // the outcome is a small number
	return &peerpb.Failure{
		Outcome: int32(f.Outcome()), Reason: string(f.Reason()), Message: f.Message(), After: f.RetryAfter().Microseconds(),
	}
}

func fromFailure(m *peerpb.Failure) *citronusher.Failure {
	return citronusher.NewFailure(citronusher.Outcome(m.GetOutcome()), citronusher.Reason(m.GetReason()), "%s",
		m.GetMessage()).WithRetryAfter(micros(m.GetAfter()))
}

func toInstances(instances []citronusher.Instance) []*peerpb.Instance {
	encoded := make([]*peerpb.Instance, len(instances))
	for i, instance := range instances {
		encoded[i] = &peerpb.Instance{
			Name: instance.Name(), Peer: instance.PeerAddress(), Domain: instance.Domain(), State: string(instance.State()),
		}
	}
	return encoded
}

func fromInstances(encoded []*peerpb.Instance) []citronusher.Instance {
	instances := make([]citronusher.Instance, len(encoded))
	for i, m := range encoded {
		instances[i] = citronusher.NewInstance(m.GetName(), m.GetPeer(), m.GetDomain(),
			citronusher.InstanceState(m.GetState()))
	}
	return instances
}
