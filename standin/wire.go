package standin

import (
	"errors"
	"net/http"
	"net/http/httptest"
)

// HandlerTransport is an http.RoundTripper that calls a handler directly. Without a network
// it also works under the fake clock of testing/synctest. If the handler aborts
// the response, RoundTrip returns an error.
type HandlerTransport struct{ Handler http.Handler }

// errAborted is what a client gets if the handler panics with http.ErrAbortHandler.
var errAborted = errors.New("connection was closed before the response")

// RoundTrip calls the handler and returns its response.
func (w HandlerTransport) RoundTrip(r *http.Request) (a *http.Response, err error) {
	defer func() {
		if x := recover(); x != nil {
			if e, ok := x.(error); !ok || !errors.Is(e, http.ErrAbortHandler) {
				panic(x)
			}
			a, err = nil, errAborted
		}
	}()
	rec := httptest.NewRecorder()
	w.Handler.ServeHTTP(rec, r)
	if r.Context().Err() != nil {
		return nil, r.Context().Err()
	}
	return rec.Result(), nil
}
