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
	WorkPanicked         Event = 106
	DocumentApplied      Event = 201
	DocumentRejected     Event = 202
	PlatformUnavailable  Event = 203
	PlatformRecovered    Event = 204
	RowSkipped           Event = 205
	SettingsReloaded     Event = 206
	SettingsRejected     Event = 207
	StoreRestored        Event = 208
	InstanceChanged      Event = 301
	PeerFailed           Event = 302
	PeerRecovered        Event = 303
	PeerStale            Event = 304
	RegistrationLost     Event = 305
	ListsOutdated        Event = 306
	Registered           Event = 307
	RegistrationUnknown  Event = 308
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
	PromotionRequested   Event = 423
	PromotionUnconfirmed Event = 424
	PromotionAccepted    Event = 425
	LeaseBegan           Event = 428
	LeaseEnded           Event = 429
	AuthenticationFailed Event = 501
	CallerFailed         Event = 502
	RequestUnknown       Event = 503
	RequestFailed        Event = 504
	TransactionExpired   Event = 505
	RequestRetried       Event = 506
	LatencyGoalMissed    Event = 507
	LateAnswer           Event = 508
	EditAccepted         Event = 601
	EditRejected         Event = 602
	DrainRequested       Event = 603
)

type definition struct {
	level slog.Level
	text  string
}

var catalogue = map[Event]definition{
	Started:  {slog.LevelInfo, "daemon started"},
	Ready:    {slog.LevelInfo, "daemon is ready"},
	Stopping: {slog.LevelInfo, "daemon is stopping; running requests are finished"},
	Stopped:  {slog.LevelInfo, "daemon stopped"},
	LogLinesDropped: {
		slog.LevelWarn, "log lines were dropped: over the rate limit, the buffer was full, or a write failed",
	},
	WorkPanicked:        {slog.LevelError, "unexpected error in the work of one session or group; the daemon goes on"},
	DocumentApplied:     {slog.LevelInfo, "configuration version is active"},
	DocumentRejected:    {slog.LevelError, "configuration version is invalid and was not activated"},
	PlatformUnavailable: {slog.LevelWarn, "request to the platform failed"},
	PlatformRecovered:   {slog.LevelInfo, "platform responds again"},
	RowSkipped:          {slog.LevelWarn, "row cannot be decoded and is skipped"},
	SettingsReloaded:    {slog.LevelInfo, "settings were reloaded"},
	SettingsRejected:    {slog.LevelError, "settings failed their checks or could not be read; the previous ones stay active"},
	StoreRestored:       {slog.LevelWarn, "store returned from an older copy: what was written since is lost"},
	InstanceChanged:     {slog.LevelInfo, "instances changed"},
	PeerFailed:          {slog.LevelWarn, "request to a peer failed"},
	PeerRecovered:       {slog.LevelInfo, "peer responds again"},
	PeerStale:           {slog.LevelWarn, "peer's configuration is stale; the peer is not polled for a while"},
	RegistrationLost:    {slog.LevelWarn, "store lost the registration of this daemon, which registers again"},
	ListsOutdated:       {slog.LevelInfo, "store is in another era; the registration is checked and the lists are read again"},
	Registered:          {slog.LevelInfo, "daemon is registered in the store"},
	RegistrationUnknown: {
		slog.LevelWarn, "store does not answer whether this daemon is registered; its leases end until it does",
	},
	HomeOpened:           {slog.LevelInfo, "home of a database opened"},
	HomeClosed:           {slog.LevelInfo, "home of a database closed"},
	ProbeFailed:          {slog.LevelWarn, "member stopped answering probes or connection attempts"},
	Promoting:            {slog.LevelWarn, "promotion started"},
	Promoted:             {slog.LevelWarn, "member was promoted"},
	PromotionFailed:      {slog.LevelWarn, "promotion failed; the next one is deferred"},
	FollowRequested:      {slog.LevelInfo, "member was requested to follow the primary"},
	WritesClosed:         {slog.LevelWarn, "term could not be confirmed; writes are refused"},
	WritesOpened:         {slog.LevelInfo, "term is confirmed again; writes are accepted"},
	TermPublished:        {slog.LevelInfo, "term was written to the table"},
	OutcomeResolved:      {slog.LevelInfo, "outcome of a non-repeatable request was resolved"},
	OutcomeUnresolved:    {slog.LevelWarn, "outcome of a non-repeatable request is not resolved yet"},
	MemberAdded:          {slog.LevelInfo, "member was added to its group"},
	MemberLeaving:        {slog.LevelInfo, "member accepts no new work"},
	MemberRemoved:        {slog.LevelInfo, "member was removed from its group"},
	PrimaryChanged:       {slog.LevelInfo, "primary or its term changed"},
	LeaseSuperseded:      {slog.LevelInfo, "lease on the primary was superseded by a promotion"},
	PromotionAbandoned:   {slog.LevelInfo, "promotion attempt was abandoned"},
	MemberRecovered:      {slog.LevelInfo, "member responds again"},
	LeaseReleased:        {slog.LevelInfo, "lease on the primary was released for a promotion"},
	LeaseReleaseFailed:   {slog.LevelWarn, "daemons did not confirm the release of their leases"},
	LeaseExpired:         {slog.LevelWarn, "lease on the primary is not valid, and no replica renewed it"},
	PromotionRequested:   {slog.LevelWarn, "promotion of a member is requested"},
	PromotionUnconfirmed: {slog.LevelWarn, "platform did not accept a promotion or did not answer; the latter may take effect"},
	PromotionAccepted:    {slog.LevelWarn, "platform accepted the promotion of a member"},
	LeaseBegan:           {slog.LevelInfo, "lease on the primary is valid from now on"},
	LeaseEnded:           {slog.LevelInfo, "lease on the primary was ended by what a member reported"},
	AuthenticationFailed: {slog.LevelWarn, "caller's authentication failed"},
	CallerFailed:         {slog.LevelDebug, "caller's connection failed"},
	RequestUnknown:       {slog.LevelWarn, "request ended with an unknown outcome"},
	RequestFailed:        {slog.LevelInfo, "request failed; the failure is sent to its caller"},
	TransactionExpired:   {slog.LevelInfo, "open transaction was rolled back: it was idle, or the daemon is stopping"},
	RequestRetried:       {slog.LevelInfo, "statement did not run, or is a read, and is retried"},
	LatencyGoalMissed:    {slog.LevelInfo, "request was served after its latency goal"},
	LateAnswer:           {slog.LevelInfo, "primary answered when its lease had ended, or long after the statement was sent"},
	EditAccepted:         {slog.LevelInfo, "operator's edit was accepted"},
	EditRejected:         {slog.LevelWarn, "operator's edit returned an error"},
	DrainRequested:       {slog.LevelInfo, "operator requested a drain"},
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
