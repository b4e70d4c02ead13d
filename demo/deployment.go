// Package demo runs a whole site in one process over loopback: the platform,
// the fabric, upstreams, agents, balancers, operators and callers, and breaks
// parts of it while callers and upstreams measure.
package demo

import (
	"bytes"
	"fmt"
	"net/netip"
	"text/template"
	"time"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/keyring"
	"pomeloway.example/pomeloway/upstream"
)

// Deployment is one user's site of today.
type Deployment struct {
	Name     string
	Zones    []bundle.Name
	Services []ServiceSize
	// Balancers is how many entry VMs there are.
	Balancers int
}

// ServiceSize is one service of a deployment.
type ServiceSize struct {
	Name                          bundle.Name
	Upstreams, Slots, Connections int
	// Upload says that callers upload to it; else they hold feeds and order.
	Upload bool
	// Protocol is what its upstreams are spoken to by; empty means HTTP/1.1.
	Protocol upstream.Protocol
	// Work is how long a warm upstream works on a request; zero means
	// upstreamWork.
	Work time.Duration
}

// Deployments are the users' sites by name.
var Deployments = map[string]Deployment{
	"agency": {
		Name: "agency", Zones: []bundle.Name{"dar-1", "dar-2", "dar-3"}, Balancers: 3,
		Services: []ServiceSize{
			{Name: "letters", Upstreams: 7, Slots: 5, Connections: 2000, Protocol: upstream.ProtocolH2C},
			{Name: "scans", Upstreams: 3, Slots: 5, Connections: 2000, Upload: true},
		},
	},
	"saltbush": {
		Name: "saltbush", Zones: []bundle.Name{"perth-1", "perth-2", "perth-3", "perth-4"}, Balancers: 4,
		Services: []ServiceSize{
			{Name: "ordering", Upstreams: 7, Slots: 6, Connections: 2000},
			{Name: "schedules", Upstreams: 4, Slots: 6, Connections: 2000, Upload: true, Protocol: upstream.ProtocolH2C},
		},
	},
}

// Cold start of the stand-ins' upstreams.
const (
	coldSlots   = 1
	coldAnswers = 5
)

var bundleText = template.Must(template.New("bundle").Parse(`# Site of {{.Name}}.
services:
{{- range $i, $s := .Services}}
  - id: {{$s.ID}}
    name: {{$s.Name}}
    address: {{$s.Address}}
    protocol: h3
    upstreams:
      slots: {{$s.Slots}}
      connections: {{$s.Connections}}
      queue: {{$s.Queue}}
      coldStart: {slots: {{$.ColdSlots}}, answers: {{$.ColdAnswers}}}
      shedStatus: 503
      answersCarryID: true
    routes:
      - {prefix: /feed, holds: connection}
{{- end}}
zones:
{{- range $i, $z := .Zones}}
  - {id: {{$z.ID}}, name: {{$z.Name}}, state: in}
{{- end}}
keys:
  - {id: {{.Key.ID}}, fingerprint: {{.Key.Fingerprint}}}
currentKey: {{.Key.ID}}
`))

// queueShare is the queue's length for each slot.
const queueShare = 8

// Text returns the deployment's first bundle, its services on the host.
func (d Deployment) Text(host netip.Addr, key keyring.Secret) []byte {
	type service struct {
		ID, Slots, Connections, Queue int
		Name                          bundle.Name
		Address                       netip.AddrPort
	}
	v := struct {
		Name                   string
		Services               []service
		Zones                  []bundle.Zone
		Key                    keyring.Secret
		ColdSlots, ColdAnswers int
	}{Name: d.Name, Key: key, ColdSlots: coldSlots, ColdAnswers: coldAnswers}
	for i, s := range d.Services {
		v.Services = append(v.Services, service{i + 1, s.Slots, s.Connections, s.Slots * queueShare, s.Name, netip.AddrPortFrom(host, servicePort(i))})
	}
	for i, z := range d.Zones {
		v.Zones = append(v.Zones, bundle.Zone{ID: bundle.ZoneID(i + 1), Name: z})
	}
	var b bytes.Buffer
	if err := bundleText.Execute(&b, v); err != nil {
		panic(fmt.Sprintf("bundle template: %v", err))
	}
	return b.Bytes()
}

// servicePort is the port of the i-th service.
func servicePort(i int) uint16 { return uint16(8001 + i) }
