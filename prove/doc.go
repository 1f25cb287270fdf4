// Package prove tests the guarantees of the proxy end to end: it runs daemons, group members and a simulated platform as
// separate processes, injects faults and checks the recorded histories. docs/PROOFS.md lists the tests.
package prove
