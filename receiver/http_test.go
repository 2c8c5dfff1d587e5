package receiver

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/provider"
)

func TestBadSubmissionsNameTheField(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := &Receiver{deps: provider.NewDeps(io.Discard).WithClock(clock)}
	deadline := clock.Now().Add(time.Second).Format(time.RFC3339Nano)
	valid := fmt.Sprintf(`{"Team":"team","Key":"key","Service":"quote","Attempt":1,"Deadline":%q,"Tasks":[{"Payload":{}}]}`, deadline)
	manyTasks := strings.TrimSuffix(strings.Repeat(`{"Payload":{}},`, 1101), ",")
	tests := []struct {
		name     string
		old, new string
		field    string
	}{
		{"no JSON", valid, "tomatoes", "body"},
		{"unknown field", `"Key"`, `"Kay"`, "body"},
		{"too large", `{}`, `"` + strings.Repeat("x", MaxBodyBytes) + `"`, "body"},
		{"no key", `"key"`, `""`, "Key"},
		{"key with a slash", `"key"`, `"a/b"`, "Key"},
		{"no team", `"team"`, `""`, "Team"},
		{"no service", `"quote"`, `""`, "Service"},
		{"no attempt", `"Attempt":1`, `"Attempt":0`, "Attempt"},
		{"no tasks", `{"Payload":{}}`, ``, "Tasks"},
		{"1101 tasks", `{"Payload":{}}`, manyTasks, "Tasks"},
		{"deadline in the past", deadline, clock.Now().Add(-time.Second).Format(time.RFC3339Nano), "Deadline"},
		{"deadline too far", deadline, clock.Now().Add(time.Hour).Format(time.RFC3339Nano), "Deadline"},
		{"no deadline", fmt.Sprintf(`"Deadline":%q,`, deadline), ``, "Deadline"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			body := strings.Replace(valid, tt.old, tt.new, 1)
			rec := httptest.NewRecorder()
			r.handler().ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/v1/jobs", strings.NewReader(body)))
			require.Equal(t, http.StatusBadRequest, rec.Code)
			require.Contains(t, rec.Body.String(), fmt.Sprintf(`"Field":%q`, tt.field))
		})
	}
}
