package gateway

import (
	"context"
	"crypto/sha256"
	"net/http"
	"strings"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/problem"
)

// Organisation is a customer, authenticated by its API key.
type Organisation struct {
	Name          fleet.Organisation
	Key           string
	Weight        float64 // fair-queueing weight relative to the other organisations
	MaxConcurrent int     // concurrent requests at one entry instance, 0 for no limit
}

type organisationContextKey struct{}

// keyDirectory maps the digests of API keys to organisations. By digest, a look-up takes the same time for any wrong key.
type keyDirectory map[[sha256.Size]byte]fleet.Organisation

func newKeyDirectory(organisations []Organisation) keyDirectory {
	d := make(keyDirectory, len(organisations))
	for _, o := range organisations {
		d[sha256.Sum256([]byte(o.Key))] = o.Name
	}
	return d
}

// authenticate refuses requests without the bearer key of an organisation, and adds the organisation to the context.
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
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), organisationContextKey{}, name)))
	})
}

func organisationOf(ctx context.Context) fleet.Organisation {
	name, _ := ctx.Value(organisationContextKey{}).(fleet.Organisation)
	return name
}
