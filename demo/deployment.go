// Package demo runs a whole site in one process over loopback: the platform,
// the fabric, upstreams, agents, balancers, operators and callers. It injects
// faults while the callers and upstreams measure their effect.
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

// Deployment describes the site of one user of pomeloway.
type Deployment struct {
	Name     string
	Zones    []bundle.Name
	Services []ServiceSpec
	// Balancers is the number of VMs that run a balancer.
	Balancers int
}

// ServiceSpec describes one service of a deployment.
type ServiceSpec struct {
	Name                          bundle.Name
	Upstreams, Slots, Connections int
	// Upload makes callers upload to the service; otherwise they read feeds and
	// place orders.
	Upload bool
	// Protocol is the protocol between agents and upstreams; empty means HTTP/1.1.
	Protocol upstream.Protocol
	// Work is the time that a warm upstream takes for a request; zero means
	// defaultWork.
	Work time.Duration
}

// Deployments holds the deployments that a demo can run, by name.
var Deployments = map[string]Deployment{
	"agency": {
		Name: "agency", Zones: []bundle.Name{"dar-1", "dar-2", "dar-3"}, Balancers: 3,
		Services: []ServiceSpec{
			{Name: "letters", Upstreams: 7, Slots: 5, Connections: 2000, Protocol: upstream.ProtocolH2C},
			{Name: "scans", Upstreams: 3, Slots: 5, Connections: 2000, Upload: true},
		},
	},
	"saltbush": {
		Name: "saltbush", Zones: []bundle.Name{"perth-1", "perth-2", "perth-3", "perth-4"}, Balancers: 4,
		Services: []ServiceSpec{
			{Name: "ordering", Upstreams: 7, Slots: 6, Connections: 2000},
			{Name: "schedules", Upstreams: 4, Slots: 6, Connections: 2000, Upload: true, Protocol: upstream.ProtocolH2C},
		},
	},
}

// Cold start of the upstream stand-ins: a cold upstream handles coldSlots
// requests at once, and doubles that after each coldAnswers answers.
const (
	coldSlots   = 1
	coldAnswers = 5
)

// bundleTemplate is the template of a deployment's first bundle.
var bundleTemplate = template.Must(template.New("bundle").Parse(`# Site of {{.Name}}.
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

// queuePerSlot is the length of an upstream's queue per slot.
const queuePerSlot = 8

// BundleText returns the text of the deployment's first bundle, with the addresses of
// all services on the host.
func (d Deployment) BundleText(host netip.Addr, key keyring.Secret) []byte {
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
		v.Services = append(v.Services, service{i + 1, s.Slots, s.Connections, s.Slots * queuePerSlot, s.Name, netip.AddrPortFrom(host, servicePort(i))})
	}
	for i, z := range d.Zones {
		v.Zones = append(v.Zones, bundle.Zone{ID: bundle.ZoneID(i + 1), Name: z})
	}
	var b bytes.Buffer
	if err := bundleTemplate.Execute(&b, v); err != nil {
		panic(fmt.Sprintf("bundle template: %v", err))
	}
	return b.Bytes()
}

// servicePort returns the port of the i-th service.
func servicePort(i int) uint16 { return uint16(8001 + i) }
