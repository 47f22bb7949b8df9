package transport

// SessionPath is where agents and entry instances open sessions on an inner listener.
const SessionPath = "/session"

// SessionURL returns the URL of the session path at an inner address. The session is secure if certificates are
// configured, or if it leaves the instance and plaintext is not allowed.
func SessionURL(address string, certificates, plaintext bool) string {
	if certificates || (!plaintext && !isLoopback(address)) {
		return "wss://" + address + SessionPath
	}
	return "ws://" + address + SessionPath
}
