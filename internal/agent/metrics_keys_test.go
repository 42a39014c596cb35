package agent

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"ryeweir/internal/config/operator"
	"ryeweir/internal/testkit"
)

// Dashboards and alerts read GET /v1/metrics by key. If a renamed field changes a key, a dashboard shows nothing and an alert never
// fires. testdata/metrics_keys.txt lists the keys, with those of nested objects, that the program of commit 53b3d21 wrote after one
// served request, with the operators' file testdata/everything.toml. The list omits events.connection_closed.read_timeout, which that
// program counted for each request to /ready although no client was slow.
func TestEveryReleasedMetricsKeyIsStillThere(t *testing.T) {
	released, err := os.ReadFile(filepath.Join("testdata", "metrics_keys.txt"))
	if err != nil {
		t.Fatal(err)
	}
	operators, err := operator.Load(filepath.Join("testdata", "everything.toml"))
	if err != nil {
		t.Fatal(err)
	}
	operators.Snapshot.Dir = t.TempDir()
	b := testkit.NewBackend(t, testkit.RespondWith(testkit.OKResponse))
	d := testkit.NewDiscovery(t, 1, testkit.EndpointJSON("s-1", b.Addr().String(), "Ready", 0))
	clientURL, controlURL := startWithOperators(t, d, operators)
	a := &testAgent{url: clientURL}
	testkit.Eventually(t, "the agent is ready", func() bool { return a.status(t, "/ready") == http.StatusOK })
	if got := send(t, a.newRequest(t, http.MethodGet, "/form-check", "")); got.status != http.StatusOK {
		t.Fatalf("status %d", got.status)
	}
	var missing []string
	defer func() {
		if t.Failed() {
			t.Logf("missing: %s", strings.Join(missing, ", "))
		}
	}()
	testkit.Eventually(t, "all released keys are present", func() bool {
		present := map[string]bool{}
		for key, value := range readMetrics(t, controlURL) {
			addKeys(t, present, key, value)
		}
		missing = missing[:0]
		for _, key := range strings.Fields(string(released)) {
			if !present[key] {
				missing = append(missing, key)
			}
		}
		return len(missing) == 0
	})
}

// addKeys adds the key at path and the keys of all objects in its value, with path as their prefix.
func addKeys(t *testing.T, keys map[string]bool, path string, value json.RawMessage) {
	t.Helper()
	keys[path] = true
	switch value[0] {
	case '{':
		var object map[string]json.RawMessage
		if err := json.Unmarshal(value, &object); err != nil {
			t.Fatal(err)
		}
		for name, nested := range object {
			addKeys(t, keys, path+"."+name, nested)
		}
	case '[':
		var list []json.RawMessage
		if err := json.Unmarshal(value, &list); err != nil {
			t.Fatal(err)
		}
		for _, nested := range list {
			addKeys(t, keys, path, nested)
		}
	}
}
