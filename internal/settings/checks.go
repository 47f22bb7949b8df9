package settings

import (
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"unicode"
)

// identifierPattern ensures that identifiers can be used as file names, metric labels and path segments.
var identifierPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// formatChecks contains the check of each format that a check tag can name. A check returns a message and a remedy, both
// empty if the value is valid.
var formatChecks = map[string]func(raw string) (message, remedy string){
	"identifier": checkIdentifier,
	"name":       checkName,
	"address":    checkAddress,
	"listen":     checkListen,
	"url":        checkURL,
	"key":        checkKey,
	"path":       checkPath,
}

func checkIdentifier(raw string) (string, string) {
	if identifierPattern.MatchString(raw) {
		return "", ""
	}
	return fmt.Sprintf("%q is not an identifier", raw),
		"use 1 to 63 letters, digits, dots, dashes and underscores, starting with a letter or digit"
}

func checkName(raw string) (string, string) {
	if len(raw) <= 128 && !strings.ContainsFunc(raw, func(r rune) bool { return unicode.IsSpace(r) || !unicode.IsPrint(r) }) {
		return "", ""
	}
	return fmt.Sprintf("%q is not a name", raw), "use at most 128 printable characters without spaces"
}

func checkAddress(raw string) (string, string) {
	host, port, err := net.SplitHostPort(raw)
	if err != nil {
		return fmt.Sprintf("%q is not an address", raw), `write IP address and port, for example "10.0.0.1:7070"`
	}
	ip, err := netip.ParseAddr(host)
	if host != "localhost" && (err != nil || ip.IsUnspecified()) {
		return fmt.Sprintf("%q does not name an IP address that others can reach", raw), "use the instance's IP address"
	}
	return checkPort(port, 1)
}

func checkListen(raw string) (string, string) {
	host, port, err := net.SplitHostPort(raw)
	if err != nil {
		return fmt.Sprintf("%q is not an address", raw), `write IP address and port, for example "0.0.0.0:8080"`
	}
	if _, err := netip.ParseAddr(host); err != nil && host != "" && host != "localhost" {
		return fmt.Sprintf("%q does not name an IP address", raw), "use an IP address or leave it out to listen on all"
	}
	return checkPort(port, 0)
}

func checkPort(port string, minPort uint64) (string, string) {
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n < minPort {
		return fmt.Sprintf("%q is not a port", port), "use a port from 1 to 65535"
	}
	return "", ""
}

func checkURL(raw string) (string, string) {
	u, err := url.Parse(raw)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return fmt.Sprintf("%q is not an HTTP URL", raw), `write it like "http://127.0.0.1:9000"`
	}
	return "", ""
}

// minKeyBytes makes keys infeasible to guess: 16 random characters have an entropy of at least 64 bits.
const minKeyBytes = 16

// checkKey checks the length of a key. Its message does not quote the key, since messages are written to logs.
func checkKey(raw string) (string, string) {
	if len(raw) >= minKeyBytes && !strings.ContainsFunc(raw, unicode.IsSpace) {
		return "", ""
	}
	return fmt.Sprintf("the key has %d bytes or contains spaces", len(raw)),
		fmt.Sprintf("use at least %d characters without spaces", minKeyBytes)
}

func checkPath(raw string) (string, string) {
	if strings.HasPrefix(raw, "/") {
		return "", ""
	}
	return fmt.Sprintf("%q is not a path", raw), "start it with a slash"
}

// isLoopback reports whether a listen address is reachable from the same instance only.
func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip, err := netip.ParseAddr(host)
	return host == "localhost" || (err == nil && ip.IsLoopback())
}
