// Package citronusher holds the types, interfaces and sentinel errors that every other package of the proxy shares.
//
// It decides nothing and does no input or output. Decision packages (route, term, session, admission, retry, profile,
// membership) depend only on it; adapters (pg, group, platform, peer) implement its interfaces.
package citronusher
