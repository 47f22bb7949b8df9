package directory

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a check that accepts what a control instance refuses, or the reverse.
func FuzzCheckConfiguration(f *testing.F) {
	route := `{"name":"r","host":"h","path-prefix":"/a/","kind":"safe","timeout-ms":1000,"service":"s"}`
	whole := func(version int, routes, rest string) string {
		return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"s"}]%s}`, version, routes, rest)
	}
	for _, body := range []string{"", "{}", "[]", `{"version":1}`, whole(2, route, ""), whole(3, route+","+route, ""),
		whole(4, strings.Replace(route, `"safe"`, `"fast"`, 1), ""), whole(5, strings.Replace(route, "1000", "0", 1), ""),
		whole(6, strings.Replace(route, `"service":"s"`, `"service":"t"`, 1), ""),
		whole(7, route, `,"tenants":[{"name":"a","api-keys":["k"]},{"name":"b","api-keys":["k"]}]`), whole(8, route, "")[:40]} {
		f.Add(body)
	}
	_, server := startSingleInstance(f)
	f.Fuzz(func(t *testing.T, body string) {
		status := 0
		for range 1000 { // 503 until the instance has formed its group
			if status, _ = call(t, http.MethodPost, server.URL+"/v1/config/replace", body); status != http.StatusServiceUnavailable {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		_, err := CheckConfiguration([]byte(body))
		if (err == nil) != (status == http.StatusOK) {
			t.Fatalf("%q: the check says %v, the control instance answers %d", body, err, status)
		}
	})
}
