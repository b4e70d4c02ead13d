package peer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/fleet"
)

const (
	pathFleet    = "/fleet"
	pathAnnounce = "/announce"
	// maxFollowWait bounds how long a follow request may wait for a change.
	maxFollowWait = 30 * time.Second
	// changeBatchDelay is how long a response is delayed to include further
	// changes that arrive shortly after the first.
	changeBatchDelay = 50 * time.Millisecond
	// maxAnnounceBytes bounds the size of one announcement, in bytes.
	maxAnnounceBytes = 4 << 20
	// callIdleTimeout is the idle timeout that detects the failure of a peer with
	// requests in progress. callKeepAlive is the keep-alive interval.
	callIdleTimeout = 6 * time.Second
	callKeepAlive   = 2 * time.Second
	// followIdleTimeout is the idle timeout that detects the failure of a relay;
	// until then its followers receive no changes. followKeepAlive is longer than
	// callKeepAlive because a relay of a large fleet has some hundred followers,
	// and keep-alives to all of them every 2 s would be most of its control
	// traffic.
	followIdleTimeout = 15 * time.Second
	followKeepAlive   = 5 * time.Second
	handshakeTimeout  = time.Second
	maxPeerStreams    = 4096
)

// Server serves requests from peers.
type Server struct {
	state *fleet.State
	conn  *net.UDPConn
	tr    *quic.Transport
	h3    *http3.Server
	pack  packer
	// FollowResponses counts the responses sent to followers.
	FollowResponses atomic.Uint64
}

// NewServer listens for peers on the address. Paths that this package does not
// serve are passed to next, which may be nil.
func NewServer(a netip.AddrPort, i *Identity, s *fleet.State, next http.Handler) (*Server, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, err
	}
	v := &Server{state: s, conn: c, tr: &quic.Transport{Conn: c}}
	m := http.NewServeMux()
	m.HandleFunc("GET "+pathFleet, v.serveFleet)
	m.HandleFunc("POST "+pathAnnounce, v.serveAnnounce)
	if next != nil {
		m.Handle("/", next)
	}
	v.h3 = &http3.Server{Handler: m, TLSConfig: i.ServerTLS()}
	return v, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() netip.AddrPort { return s.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// serverConfig sets no keep-alive: the client sends keep-alives, because it knows
// how quickly each of its connections has to detect a failure.
func serverConfig() *quic.Config {
	return &quic.Config{HandshakeIdleTimeout: handshakeTimeout, MaxIdleTimeout: followIdleTimeout, MaxIncomingStreams: maxPeerStreams}
}

// Run serves requests until Close is called.
func (s *Server) Run() error {
	l, err := s.tr.ListenEarly(s.h3.TLSConfig, serverConfig())
	if err != nil {
		return err
	}
	defer l.Close()
	err = s.h3.ServeListener(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Close stops the server immediately, without waiting for open requests.
func (s *Server) Close() {
	s.h3.Close()
	s.tr.Close()
	s.conn.Close()
}

// serveFleet responds to a follower as soon as there are changes that it does not
// have, or when its wait ends.
func (s *Server) serveFleet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	epoch, _ := strconv.ParseUint(q.Get("epoch"), 10, 64)
	rev, _ := strconv.ParseUint(q.Get("revision"), 10, 64)
	have, _ := strconv.ParseUint(q.Get("have"), 10, 64)
	wait, _ := time.ParseDuration(q.Get("wait"))
	ctx, stop := context.WithTimeout(r.Context(), min(wait, maxFollowWait))
	defer stop()
	c := s.waitForChange(ctx, epoch, rev, bundle.Version(have))
	s.FollowResponses.Add(1)
	s.pack.write(w, r, s.state, c)
}

func (s *Server) waitForChange(ctx context.Context, epoch, rev uint64, have bundle.Version) fleet.Change {
	for {
		changed := s.state.Changed()
		c := s.state.Since(epoch, rev, have)
		if c.Bundle != nil || len(c.Members)+len(c.Opinions) > 0 || c.Epoch != epoch {
			return c
		}
		select {
		case <-changed:
			time.Sleep(changeBatchDelay)
		case <-ctx.Done():
			return c
		}
	}
}

func (s *Server) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var c fleet.Change
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnounceBytes)).Decode(&c); err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.state.Merge(c)
	w.WriteHeader(http.StatusNoContent)
}
