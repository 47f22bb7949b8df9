package transport

// SessionPath is where agents and entry instances open sessions on an inner listener.
const SessionPath = "/session"

// SessionURL returns the URL of the session path at an inner address. The scheme is wss if useTLS is set, or if the
// address is not loopback and plaintext is not allowed; otherwise ws.
func SessionURL(address string, useTLS, allowPlaintext bool) string {
	if useTLS || (!allowPlaintext && !isLoopback(address)) {
		return "wss://" + address + SessionPath
	}
	return "ws://" + address + SessionPath
}
