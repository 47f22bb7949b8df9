package responsehead

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// Transport is an http.Transport that returns an Error in place of a response with an invalid head.
type Transport struct{ base *http.Transport }

var _ http.RoundTripper = (*Transport)(nil)

// NewTransport returns a Transport over base, which must not be used otherwise.
func NewTransport(base *http.Transport) *Transport { return &Transport{base} }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	interims := 0
	trace := &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
			if interims++; interims > MaxInterim { // http.Transport limits them only without this function
				return newError("interim", "more than %d interim responses", MaxInterim)
			}
			return CheckNames(http.Header(header))
		},
	}
	response, err := t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err = CheckFinal(response.StatusCode); err == nil {
		err = CheckNames(response.Header)
	}
	if err != nil {
		_ = response.Body.Close()
		t.base.CloseIdleConnections() // the connection is among them if the response had no body
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections; http.Client looks for this method.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
