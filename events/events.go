// Package events defines the numbered log messages. docs/EVENTS.md lists them.
package events

import "log/slog"

// Event is the number of a log message, written under the log key event.
type Event int

// The events, grouped by hundreds: 100 process, 200 configuration, 300 instances, 400 groups, 500 callers, 600 operators.
const (
	Started              Event = 101
	Ready                Event = 102
	Stopping             Event = 103
	Stopped              Event = 104
	LogLinesDropped      Event = 105
	DocumentApplied      Event = 201
	DocumentRejected     Event = 202
	PlatformUnavailable  Event = 203
	PlatformRecovered    Event = 204
	RowSkipped           Event = 205
	SettingsReloaded     Event = 206
	SettingsRejected     Event = 207
	InstanceChanged      Event = 301
	PeerFailed           Event = 302
	PeerRecovered        Event = 303
	PeerStale            Event = 304
	HomeOpened           Event = 401
	HomeClosed           Event = 402
	ProbeFailed          Event = 403
	Promoting            Event = 404
	Promoted             Event = 405
	PromotionFailed      Event = 406
	FollowRequested      Event = 407
	WritesClosed         Event = 408
	WritesOpened         Event = 409
	TermPublished        Event = 410
	OutcomeResolved      Event = 411
	OutcomeUnresolved    Event = 412
	MemberAdded          Event = 413
	MemberLeaving        Event = 414
	MemberRemoved        Event = 415
	PrimaryChanged       Event = 416
	LeaseSuperseded      Event = 417
	PromotionAbandoned   Event = 418
	MemberRecovered      Event = 419
	LeaseReleased        Event = 420
	LeaseReleaseFailed   Event = 421
	LeaseExpired         Event = 422
	AuthenticationFailed Event = 501
	CallerFailed         Event = 502
	RequestUnknown       Event = 503
	RequestFailed        Event = 504
	TransactionExpired   Event = 505
	RequestRetried       Event = 506
	LatencyGoalMissed    Event = 507
	EditAccepted         Event = 601
	EditRejected         Event = 602
	DrainRequested       Event = 603
)

type definition struct {
	level slog.Level
	text  string
}

var catalogue = map[Event]definition{
	Started:              {slog.LevelInfo, "daemon started"},
	Ready:                {slog.LevelInfo, "daemon is ready"},
	Stopping:             {slog.LevelInfo, "daemon is stopping; running requests are finished"},
	Stopped:              {slog.LevelInfo, "daemon stopped"},
	LogLinesDropped:      {slog.LevelWarn, "log lines were dropped: too many at a time, or nobody reads them"},
	DocumentApplied:      {slog.LevelInfo, "configuration version is in force"},
	DocumentRejected:     {slog.LevelError, "configuration version failed its checks and is not used"},
	PlatformUnavailable:  {slog.LevelWarn, "platform does not answer"},
	PlatformRecovered:    {slog.LevelInfo, "platform answers again"},
	RowSkipped:           {slog.LevelWarn, "row cannot be read and is left out"},
	SettingsReloaded:     {slog.LevelInfo, "settings were read again"},
	SettingsRejected:     {slog.LevelError, "settings failed their checks; the old ones stay in force"},
	InstanceChanged:      {slog.LevelInfo, "instances changed"},
	PeerFailed:           {slog.LevelWarn, "peer does not answer; other homes are asked first"},
	PeerRecovered:        {slog.LevelInfo, "peer answers again"},
	PeerStale:            {slog.LevelWarn, "peer has not heard from the platform for long; another one is asked"},
	HomeOpened:           {slog.LevelInfo, "home of a database opened"},
	HomeClosed:           {slog.LevelInfo, "home of a database closed"},
	ProbeFailed:          {slog.LevelWarn, "member stopped answering probes"},
	Promoting:            {slog.LevelWarn, "primary is lost; claiming a new term"},
	Promoted:             {slog.LevelWarn, "member was promoted"},
	PromotionFailed:      {slog.LevelWarn, "promotion failed; trying again later"},
	FollowRequested:      {slog.LevelInfo, "member was ordered to follow the primary"},
	WritesClosed:         {slog.LevelWarn, "term could not be confirmed; writes are refused"},
	WritesOpened:         {slog.LevelInfo, "term is confirmed again; writes are accepted"},
	TermPublished:        {slog.LevelInfo, "term was published in the table"},
	OutcomeResolved:      {slog.LevelInfo, "outcome of a non-repeatable request was looked up"},
	OutcomeUnresolved:    {slog.LevelWarn, "outcome of a non-repeatable request could not be looked up; trying again"},
	MemberAdded:          {slog.LevelInfo, "member of a group is known"},
	MemberLeaving:        {slog.LevelInfo, "member takes no new work"},
	MemberRemoved:        {slog.LevelInfo, "member is gone"},
	PrimaryChanged:       {slog.LevelInfo, "primary is known under a term"},
	LeaseSuperseded:      {slog.LevelInfo, "right to use the primary was closed by a newer term"},
	PromotionAbandoned:   {slog.LevelInfo, "promotion was given up"},
	MemberRecovered:      {slog.LevelInfo, "member answers again"},
	LeaseReleased:        {slog.LevelInfo, "right to use the primary was given up for another daemon"},
	LeaseReleaseFailed:   {slog.LevelWarn, "a daemon did not give its right up; waiting until it expires"},
	LeaseExpired:         {slog.LevelWarn, "right to use the primary expired: no replica renewed it"},
	AuthenticationFailed: {slog.LevelWarn, "caller's sign-in was refused"},
	CallerFailed:         {slog.LevelDebug, "caller's connection failed"},
	RequestUnknown:       {slog.LevelWarn, "request ended with an unknown outcome"},
	RequestFailed:        {slog.LevelInfo, "request failed; its caller was told so"},
	TransactionExpired:   {slog.LevelInfo, "idle transaction was rolled back"},
	RequestRetried:       {slog.LevelInfo, "statement did not run and is tried again"},
	LatencyGoalMissed:    {slog.LevelInfo, "request was served after its goal"},
	EditAccepted:         {slog.LevelInfo, "operator's edit was accepted"},
	EditRejected:         {slog.LevelWarn, "operator's edit was refused"},
	DrainRequested:       {slog.LevelInfo, "operator asked the daemon to drain"},
}

// All returns the texts of all events by number.
func All() map[Event]string {
	texts := make(map[Event]string, len(catalogue))
	for event, e := range catalogue {
		texts[event] = e.text
	}
	return texts
}

// Log writes the event with its level and text from the catalogue. args are slog key-value pairs.
func Log(logger *slog.Logger, event Event, args ...any) {
	e := catalogue[event]
	args = append([]any{"event", int(event)}, args...)
	switch e.level {
	case slog.LevelError:
		logger.Error(e.text, args...)
	case slog.LevelWarn:
		logger.Warn(e.text, args...)
	case slog.LevelInfo:
		logger.Info(e.text, args...)
	default:
		logger.Debug(e.text, args...)
	}
}
