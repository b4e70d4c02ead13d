package standin

import (
	"errors"
	"net/http"
	"net/http/httptest"
)

// Wire calls a handler without a network, so that it works under a paused
// clock. An aborted handler shows as a lost answer.
type Wire struct{ Handler http.Handler }

var errCut = errors.New("connection was cut")

// RoundTrip calls the handler.
func (w Wire) RoundTrip(r *http.Request) (a *http.Response, err error) {
	defer func() {
		if x := recover(); x != nil {
			if e, ok := x.(error); !ok || !errors.Is(e, http.ErrAbortHandler) {
				panic(x)
			}
			a, err = nil, errCut
		}
	}()
	rec := httptest.NewRecorder()
	w.Handler.ServeHTTP(rec, r)
	if r.Context().Err() != nil {
		return nil, r.Context().Err()
	}
	return rec.Result(), nil
}
