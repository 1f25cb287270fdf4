package entry

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

// TestSharedNamesDiffer guards against a caller's prepared statement that runs another caller's: statements whose texts
// have the same xxhash64, or that differ in their parameter types only, have different names.
func TestSharedNamesDiffer(t *testing.T) {
	const text = "grade_of_route_where_id=?_hint=a_limit=1_order_by_revision_desc_"
	const sameHash = "qd4eWQb9_route_where_id=?_hint=afZtr_?-I_order_by_revision_desc_"
	statements := []*pgproto3.Parse{
		{Query: text},
		{Query: sameHash},
		{Query: text, ParameterOIDs: []uint32{23}},
		{Query: text, ParameterOIDs: []uint32{20}},
		{Query: text, ParameterOIDs: []uint32{23, 20}},
	}
	names := map[string]int{}
	for i, m := range statements {
		name := sharedName(m)
		if other, ok := names[name]; ok {
			t.Errorf("statements %d and %d have the name %s", other, i, name)
		}
		names[name] = i
		if again := sharedName(m); again != name {
			t.Errorf("statement %d has the names %s and %s", i, name, again)
		}
	}
}
