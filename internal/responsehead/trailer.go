package responsehead

import (
	"io"
	"net/http"
	"slices"
)

// CheckTrailer makes the body of a response in chunks fail at its end with an Error if the trailer has an invalid field name. refused is
// called then unless it is nil.
func CheckTrailer(response *http.Response, refused func()) {
	if slices.Contains(response.TransferEncoding, "chunked") {
		response.Body = &trailerBody{ReadCloser: response.Body, response: response, refused: refused}
	}
}

// trailerBody is a body in chunks whose trailer is checked.
type trailerBody struct {
	io.ReadCloser
	response *http.Response
	refused  func()
	invalid  error
}

// Read implements io.Reader.
func (b *trailerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if b.invalid == nil {
		b.invalid = CheckNames(b.response.Trailer) // net/http has read the trailer by now
		if b.invalid != nil && b.refused != nil {
			b.refused()
		}
	}
	if b.invalid != nil {
		return n, b.invalid
	}
	return n, io.EOF
}
