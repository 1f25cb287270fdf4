package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
)

// attribute is a DynamoDB attribute value: a string (S) or a number (N).
type attribute struct {
	S string `json:"S,omitempty"`
	N string `json:"N,omitempty"`
}

// item is a row: attribute values by name.
type item map[string]attribute

// tableRequest contains the fields of GetItem and PutItem requests that the proxy sends.
type tableRequest struct {
	Key                       item   `json:"Key"`
	Item                      item   `json:"Item"`
	ConditionExpression       string `json:"ConditionExpression"`
	ExpressionAttributeValues item   `json:"ExpressionAttributeValues"`
}

// conditionFailedType is the error type of a write whose condition is false.
const conditionFailedType = "com.amazonaws.dynamodb.v20120810#ConditionalCheckFailedException"

// serveTable serves GetItem and PutItem.
func (p *Platform) serveTable(w http.ResponseWriter, r *http.Request) {
	var request tableRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_, operation, _ := strings.Cut(r.Header.Get("X-Amz-Target"), ".")
	p.mu.Lock()
	defer p.mu.Unlock()
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	switch operation {
	case "GetItem":
		p.reads++
		response := map[string]any{}
		if row, ok := p.rows[request.Key["key"].S]; ok {
			response["Item"] = row
		}
		_ = json.NewEncoder(w).Encode(response)
	case "PutItem":
		p.writes++
		if !p.conditionHolds(request) {
			w.WriteHeader(http.StatusBadRequest)
			fmt.Fprintf(w, `{"__type":%q,"message":"The conditional request failed"}`, conditionFailedType)
			return
		}
		p.rows[request.Item["key"].S] = request.Item
		fmt.Fprint(w, "{}")
	default:
		http.Error(w, "operation", http.StatusBadRequest)
	}
}

// conditionHolds reports whether a write's condition is true: the row is absent, or its version equals :expected.
func (p *Platform) conditionHolds(request tableRequest) bool {
	row, ok := p.rows[request.Item["key"].S]
	if strings.HasPrefix(request.ConditionExpression, "attribute_not_exists") {
		return !ok
	}
	return ok && row["version"].N == request.ExpressionAttributeValues[":expected"].N
}
