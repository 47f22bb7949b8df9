package gateway

import (
	"context"
	"crypto/sha256"
	"net/http"
	"strings"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/problem"
)

// Organisation is a customer, known by its key.
type Organisation struct {
	Name          fleet.Organisation
	Key           string
	Weight        float64 // share relative to the other organisations
	MaxConcurrent int     // requests at a time at one entry instance, 0 for no bound
}

type organisationKey struct{}

// directory finds organisations by the digest of their key, so that a look-up takes the same time for any wrong key.
type directory map[[sha256.Size]byte]fleet.Organisation

func newDirectory(organisations []Organisation) directory {
	d := make(directory, len(organisations))
	for _, o := range organisations {
		d[sha256.Sum256([]byte(o.Key))] = o.Name
	}
	return d
}

// authenticate finds the organisation of each request by its bearer key.
func (g *Gateway) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		name, known := g.organisations[sha256.Sum256([]byte(key))]
		if !ok || !known {
			metricUnauthorized.Inc()
			problem.Write(w, problem.New(problem.Unauthorized,
				"the key is not known: send \"Authorization: Bearer KEY\" with your organisation's key").WithRan(false))
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), organisationKey{}, name)))
	})
}

func organisationOf(ctx context.Context) fleet.Organisation {
	name, _ := ctx.Value(organisationKey{}).(fleet.Organisation)
	return name
}
