// Package prove holds the proofs of the promises: tests that run daemons, group members and a platform as separate
// processes, make them fail, and check the recorded history. docs/PROOFS.md lists them.
package prove
