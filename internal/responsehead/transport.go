package responsehead

import "net/http"

// Transport is an http.Transport that returns an Error in place of a response with an invalid head.
type Transport struct{ base *http.Transport }

var _ http.RoundTripper = (*Transport)(nil)

// NewTransport returns a Transport over base, which must not be used otherwise.
func NewTransport(base *http.Transport) *Transport { return &Transport{base} }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.base.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := CheckFinal(response.StatusCode); err != nil {
		_ = response.Body.Close()
		t.base.CloseIdleConnections() // the connection is among them if the response had no body
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections; http.Client looks for this method.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
