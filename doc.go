// Package citronusher holds the types, interfaces and sentinel errors that every other package of the proxy shares.
//
// It contains no decisions and does no I/O. Decision packages (route, term, session, admission, retry, profile,
// membership) depend only on it. Adapters (pg, group, platform, peer) implement its interfaces.
package citronusher
