package settings

import (
	"fmt"
	"net"
	"net/netip"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// checkFront reports inconsistent fields and sets the defaults that depend on other fields.
func (d *document) checkFront(f *Front) {
	d.checkKeySource(f.FleetKey, f.FleetKeyFile, "", "fleetKey")
	d.checkTLS(f)
	if f.InnerAddress == "" {
		if isReachable(f.InnerListen) {
			f.InnerAddress = f.InnerListen
		} else {
			d.addProblemAt("innerAddress", fmt.Sprintf("innerListen %q does not name an address that others can reach", f.InnerListen),
				`add "innerAddress" with this instance's IP address and port`)
		}
	}
	d.checkListeners(f)
	d.checkVoters(f)
	d.checkOrganisations(f.Organisations)
	seen := make(map[[2]string]bool)
	for i, hop := range f.HopCosts {
		from, to := string(hop.From), string(hop.To)
		pair := [2]string{min(from, to), max(from, to)}
		path := fmt.Sprintf("hopCosts[%d]", i)
		switch {
		case from == to && from != "":
			d.addProblemAt(path, "from and to name the same data centre", "remove it; hops inside a data centre cost nothing")
		case seen[pair]:
			d.addProblemAt(path, fmt.Sprintf("the cost between %q and %q is given twice", from, to), "keep one; it applies in both directions")
		}
		seen[pair] = true
	}
}

func (d *document) checkKeySource(key, file, parent, name string) {
	switch {
	case key != "" && file != "":
		d.addProblemAt(joinPath(parent, name), fmt.Sprintf("%s and %sFile are both given", name, name), "keep one of them")
	case key == "" && file == "" && !d.hasProblem(joinPath(parent, name)):
		d.addProblemAt(joinPath(parent, name), fmt.Sprintf("neither %s nor %sFile is given", name, name), "add one of them")
	}
}

func (d *document) checkTLS(f *Front) {
	switch {
	case (f.TLS.CertFile == "") != (f.TLS.KeyFile == ""):
		d.addProblemAt("tls", "certFile and keyFile must be given together", "add the missing one")
	case f.TLS.CertFile != "" && f.Plaintext:
		d.addProblemAt("plaintext", "plaintext is true although a certificate is given", "remove plaintext or the certificate")
	}
	if f.TLS.CertFile != "" || f.TLS.KeyFile != "" || f.Plaintext {
		return
	}
	for _, l := range []struct{ path, address string }{
		{"callersListen", f.CallersListen}, {"innerListen", f.InnerListen}, {"operatorsListen", f.OperatorsListen},
	} {
		if l.address != "" && !isLoopback(l.address) && !d.hasProblem(l.path) {
			d.addProblemAt(l.path, fmt.Sprintf("%q is not a loopback address and has no TLS", l.address),
				`add "tls" with certFile and keyFile, or "plaintext": true`)
		}
	}
}

func (d *document) checkListeners(f *Front) {
	seen := make(map[string]string)
	for _, l := range []struct{ path, address string }{
		{"callersListen", f.CallersListen}, {"innerListen", f.InnerListen}, {"operatorsListen", f.OperatorsListen},
	} {
		_, port, err := net.SplitHostPort(l.address)
		if err != nil || port == "0" {
			continue
		}
		if other, ok := seen[l.address]; ok {
			d.addProblemAt(l.path, fmt.Sprintf("%s and %s share the address %q", other, l.path, l.address), "give each its own port")
		}
		seen[l.address] = l.path
	}
}

// maxVoters limits the number of synced disk writes per claim. The design provides for 3 or 5 voters, and for 1 in trials on
// one instance.
const maxVoters = 5

func (d *document) checkVoters(f *Front) {
	if n := len(f.Voters); n > 0 && (n%2 == 0 || n > maxVoters) {
		d.addProblemAt("voters", fmt.Sprintf("%d voters are given", n), "name 3 or 5 voters (1 for a trial on one instance)")
	}
	instances, addresses := make(map[string]bool), make(map[string]bool)
	for i, v := range f.Voters {
		path := fmt.Sprintf("voters[%d]", i)
		if id := string(v.Instance); id != "" && instances[id] {
			d.addProblemAt(path+".instance", fmt.Sprintf("voter %q is given twice", id), "keep one of them")
		}
		if v.Address != "" && addresses[v.Address] {
			d.addProblemAt(path+".address", fmt.Sprintf("address %q is given twice", v.Address), "give each voter its own address")
		}
		instances[string(v.Instance)], addresses[v.Address] = true, true
		if v.Instance != f.Instance || f.Instance == "" {
			continue
		}
		if f.DataFolder == "" {
			d.addProblemAt(path, "this instance is a voter but has no data folder", `add "dataFolder" on a durable disk`)
		}
		if v.Address != "" && f.InnerAddress != "" && v.Address != f.InnerAddress {
			d.addProblemAt(path+".address", fmt.Sprintf("%q differs from this instance's inner address %q", v.Address, f.InnerAddress),
				"make both the same")
		}
	}
}

func (d *document) checkOrganisations(list []Organisation) {
	names := make(map[string]bool)
	for i, o := range list {
		path := fmt.Sprintf("organisations[%d]", i)
		d.checkKeySource(o.Key, o.KeyFile, path, "key")
		if name := string(o.Name); name != "" && names[name] {
			d.addProblemAt(path+".name", fmt.Sprintf("organisation %q is given twice", name), "keep one of them")
		}
		names[string(o.Name)] = true
	}
}

// checkDistinctKeys reports organisations with the same key, since their callers could not be distinguished.
func (d *document) checkDistinctKeys(list []Organisation) {
	organisationByKey := make(map[string]string)
	for i, o := range list {
		if o.Key == "" {
			continue
		}
		if owner, ok := organisationByKey[o.Key]; ok {
			d.addProblemAt(fmt.Sprintf("organisations[%d]", i), fmt.Sprintf("%q has the same key as %q", o.Name, owner),
				"give each organisation its own key")
		}
		organisationByKey[o.Key] = string(o.Name)
	}
}

func isReachable(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || port == "0" {
		return false
	}
	ip, err := netip.ParseAddr(host)
	return host == "localhost" || (err == nil && !ip.IsUnspecified())
}

// checkAgent reports inconsistent fields and sets the defaults that depend on other fields.
func (d *document) checkAgent(a *Agent) {
	d.checkKeySource(a.FleetKey, a.FleetKeyFile, "", "fleetKey")
	if a.Server == "" {
		a.Server = fleet.ServerID(a.Instance)
	}
	if a.TLS.CAFile != "" && a.Plaintext {
		d.addProblemAt("plaintext", "plaintext is true although a certificate authority is given", "remove one of them")
	}
	if a.MetricsListen != "" && !isLoopback(a.MetricsListen) && !a.Plaintext && !d.hasProblem("metricsListen") {
		d.addProblemAt("metricsListen", fmt.Sprintf("%q is not a loopback address and has no TLS", a.MetricsListen),
			`use a loopback address, or set "plaintext": true`)
	}
	b := &a.Backend
	switch b.Kind {
	case KindEngine:
		if len(b.Models) == 0 {
			d.addProblemAt("backend.models", "an engine needs at least one model", `add "models"`)
		}
		if b.Service != "" {
			d.addProblemAt("backend.service", "an engine has no service name", `remove it, or use "kind": "service"`)
		}
	case KindService:
		if b.Service == "" {
			d.addProblemAt("backend.service", "a service needs its name", `add "service"`)
		}
		for _, name := range []string{"models", "role", "resumes", "checksFencing", "group", "rank", "ranks"} {
			if d.isPresent("backend." + name) {
				d.addProblemAt("backend."+name, fmt.Sprintf("a service has no %s", name), `remove it, or use "kind": "engine"`)
			}
		}
	}
	models := make(map[string]bool)
	for i, m := range b.Models {
		if models[m.Name+" "+m.Version] {
			d.addProblemAt(fmt.Sprintf("backend.models[%d]", i), fmt.Sprintf("model %q is given twice", m.Name), "keep one of them")
		}
		models[m.Name+" "+m.Version] = true
	}
	switch {
	case b.Kind == KindService: // reported above
	case b.Group == "" && (b.Ranks > 0 || b.Rank > 0):
		d.addProblemAt("backend.group", "rank and ranks need a group", `add "group" or remove them`)
	case b.Group != "" && b.Rank >= b.Ranks:
		d.addProblemAt("backend.rank", fmt.Sprintf("rank %d is not below ranks %d", b.Rank, b.Ranks), "count ranks from 0")
	}
}
