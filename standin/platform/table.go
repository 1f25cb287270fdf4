package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
)

// attribute is a DynamoDB attribute value of the two types in use.
type attribute struct {
	S string `json:"S,omitempty"`
	N string `json:"N,omitempty"`
}

// item is a row.
type item map[string]attribute

// tableRequest holds the fields of GetItem and PutItem that the proxy sends.
type tableRequest struct {
	Key                       item   `json:"Key"`
	Item                      item   `json:"Item"`
	ConditionExpression       string `json:"ConditionExpression"`
	ExpressionAttributeValues item   `json:"ExpressionAttributeValues"`
}

const conditionFailed = "com.amazonaws.dynamodb.v20120810#ConditionalCheckFailedException"

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
		answer := map[string]any{}
		if row, ok := p.rows[request.Key["key"].S]; ok {
			answer["Item"] = row
		}
		_ = json.NewEncoder(w).Encode(answer)
	case "PutItem":
		p.writes++
		if !p.holds(request) {
			w.WriteHeader(http.StatusBadRequest)
			fmt.Fprintf(w, `{"__type":%q,"message":"The conditional request failed"}`, conditionFailed)
			return
		}
		p.rows[request.Item["key"].S] = request.Item
		fmt.Fprint(w, "{}")
	default:
		http.Error(w, "operation", http.StatusBadRequest)
	}
}

// holds checks the request's condition: the row is absent, or its version equals :expected.
func (p *Platform) holds(request tableRequest) bool {
	row, ok := p.rows[request.Item["key"].S]
	if strings.HasPrefix(request.ConditionExpression, "attribute_not_exists") {
		return !ok
	}
	return ok && row["version"].N == request.ExpressionAttributeValues[":expected"].N
}
