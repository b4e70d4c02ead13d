package cli

import (
	"net/netip"
	"time"

	"github.com/alecthomas/kong"

	"pomeloway.example/pomeloway/agent"
	"pomeloway.example/pomeloway/balancer"
	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/capacity"
	"pomeloway.example/pomeloway/demo"
	"pomeloway.example/pomeloway/experiment"
	"pomeloway.example/pomeloway/node"
	"pomeloway.example/pomeloway/program"
)

// Version is the program's version.
const Version = "0.1.0"

// Options are all commands and their settings. Every flag can be given by the
// environment variable that the help names beside it.
type Options struct {
	program.Logs `embed:""`

	Balancer balancer.Options `cmd:"" help:"Run the balancer of an entry VM." group:"Programs"`
	Agent    agent.Options    `cmd:"" help:"Run the agent beside an upstream." group:"Programs"`

	Datagram DatagramOptions `cmd:"" help:"Run the programs of datagram services on the users' platform." group:"Programs"`

	Bundle BundleOptions `cmd:"" help:"Make, check, sign and accept bundles." group:"Operators"`
	Key    KeyOptions    `cmd:"" help:"Make keys." group:"Operators"`
	Zone   ZoneOptions   `cmd:"" help:"Take an availability zone out or back in." group:"Operators"`
	Status StatusOptions `cmd:"" help:"Show every process and the bundle in force there." group:"Operators"`

	Explain ExplainOptions `cmd:"" help:"Join logs into the story of one request or flow." group:"Operators"`

	Demo       demo.Options       `cmd:"" help:"Run a whole site on loopback and break it." group:"Trials"`
	Experiment experiment.Options `cmd:"" help:"Play days of a datagram service in memory: faults from a script, policies side by side." group:"Trials"`
	Bench      capacity.Options   `cmd:"" help:"Measure how state, traffic and processor time grow with size." group:"Trials"`
	Call       CallOptions        `cmd:"" help:"Make one request as a caller." group:"Trials"`
	Standin    StandinOptions     `cmd:"" help:"Run a stand-in for the platform, the fabric or an upstream." group:"Trials"`

	Version kong.VersionFlag `help:"Print the version and exit."`
}

// DatagramOptions are the programs of datagram services.
type DatagramOptions struct {
	Balancer node.Options `cmd:"" help:"Run the balancer of an entry VM."`
	Agent    node.Options `cmd:"" help:"Run the agent beside an upstream."`
}

// PlatformOptions say where the platform is and whom to trust.
type PlatformOptions struct {
	Platform string   `help:"URL of the platform's object API." required:"" env:"POMELOWAY_PLATFORM" placeholder:"URL"`
	Token    string   `help:"Bearer token for the platform." env:"POMELOWAY_TOKEN"`
	Trust    []string `help:"Operators' public keys that sign bundles." required:"" env:"POMELOWAY_TRUST"`
}

// SignOptions say who signs.
type SignOptions struct {
	PlatformOptions
	Sign     string `help:"File of the operator's secret key, from pomeloway key operator." required:"" type:"path" env:"POMELOWAY_SIGN" placeholder:"FILE"`
	Password string `help:"Password of the secret key." env:"POMELOWAY_PASSWORD"`
	Author   string `help:"Who signs; others see it when they race." env:"POMELOWAY_AUTHOR" default:"${user}"`
}

// BundleOptions are the bundle commands.
type BundleOptions struct {
	Init     BundleInit     `cmd:"" help:"Print a first bundle to start from."`
	Validate BundleValidate `cmd:"" help:"Check a bundle and print all findings."`
	Diff     BundleDiff     `cmd:"" help:"Show how a bundle differs from the one in force."`
	Sign     BundleSign     `cmd:"" help:"Sign a bundle as the child of the one in force."`
	Accept   BundleAccept   `cmd:"" help:"Bring a signed bundle into force."`
	Show     BundleShow     `cmd:"" help:"Print an accepted bundle."`
	History  BundleHistory  `cmd:"" help:"List accepted bundles, newest first."`
}

// BundleInit prints a template.
type BundleInit struct {
	Service     bundle.Name    `help:"Name of the first service." default:"web"`
	Address     netip.AddrPort `help:"Address of the first service." default:"192.0.2.1:443"`
	Zone        []bundle.Name  `help:"Names of the availability zones." default:"zone-1"`
	Fingerprint string         `help:"Fingerprint of the first fleet key." required:""`
}

// BundleValidate checks a file.
type BundleValidate struct {
	File string `arg:"" help:"YAML file of the bundle." type:"existingfile"`
}

// BundleDiff compares a file with what is in force.
type BundleDiff struct {
	PlatformOptions
	File string `arg:"" help:"YAML file of the bundle." type:"existingfile"`
}

// BundleSign signs a file.
type BundleSign struct {
	SignOptions
	File string `arg:"" help:"YAML file of the bundle." type:"existingfile"`
	Out  string `help:"File for the signed bundle; FILE.signed if not given." type:"path" placeholder:"FILE"`
}

// BundleAccept accepts a signed file.
type BundleAccept struct {
	PlatformOptions
	File string `arg:"" help:"Signed bundle." type:"existingfile"`
}

// BundleShow prints a version.
type BundleShow struct {
	PlatformOptions
	Version bundle.Version `arg:"" optional:"" help:"Version to print; the one in force if not given."`
}

// BundleHistory lists versions.
type BundleHistory struct {
	PlatformOptions
	Most int `help:"How many versions to list." default:"10"`
}

// KeyOptions are the key commands.
type KeyOptions struct {
	New      KeyNew      `cmd:"" help:"Print a new fleet key and its fingerprint."`
	Operator KeyOperator `cmd:"" help:"Write a new key pair for signing bundles."`
}

// KeyNew makes a fleet key.
type KeyNew struct {
	ID bundle.KeyID `help:"Number of the key, 1 to 255." default:"1"`
}

// KeyOperator makes a signing key pair.
type KeyOperator struct {
	File     string `arg:"" help:"File for the secret key; FILE.pub gets the public one." type:"path"`
	Password string `help:"Password to encrypt the secret key with." env:"POMELOWAY_PASSWORD"`
}

// ZoneOptions are the zone commands.
type ZoneOptions struct {
	Out ZoneMove `cmd:"" help:"Take an availability zone out; its flows are given up."`
	In  ZoneMove `cmd:"" help:"Bring an availability zone back."`
}

// ZoneMove moves a zone.
type ZoneMove struct {
	SignOptions
	Zone bundle.Name `arg:"" help:"Name of the availability zone."`
}

// StatusOptions show the fleet.
type StatusOptions struct {
	Platform string         `help:"URL of the platform's object API." env:"POMELOWAY_PLATFORM" placeholder:"URL"`
	Token    string         `help:"Bearer token for the platform." env:"POMELOWAY_TOKEN"`
	From     netip.AddrPort `help:"Ask this process for the members instead of the platform." placeholder:"IP:PORT"`
	Wait     bool           `help:"Wait until the newest version is in force in every process."`
	Timeout  time.Duration  `help:"Longest wait." default:"30s"`
	JSON     bool           `help:"Print JSON." name:"json"`
}

// CallOptions are one caller's request.
type CallOptions struct {
	Address netip.AddrPort `arg:"" help:"Address of the service."`
	URL     string         `arg:"" help:"URL, such as https://letters/screen."`
	CACert  string         `help:"PEM file of the certificate to trust." type:"existingfile" name:"cacert" placeholder:"FILE"`
	Method  string         `help:"Method of the request." default:"GET"`
	Data    string         `help:"Body of the request."`
	Key     string         `help:"Idempotency key; new gets one first."`
	Timeout time.Duration  `help:"Longest wait." default:"30s"`
}

// StandinOptions are the stand-ins.
type StandinOptions struct {
	Platform StandinPlatform `cmd:"" help:"Object store with faults to switch on."`
	Fabric   StandinFabric   `cmd:"" help:"Spray of datagrams over balancers."`
	Upstream StandinUpstream `cmd:"" help:"Back end with slots, cold start and drain."`
}

// StandinPlatform is a platform.
type StandinPlatform struct {
	Listen netip.AddrPort `help:"Address to serve on." default:"127.0.0.1:7100" env:"POMELOWAY_LISTEN"`
	Reads  float64        `help:"Reads a second that it takes; 0 means any." default:"2000"`
	Writes float64        `help:"Writes a second that it takes; 0 means any." default:"300"`
}

// StandinFabric is a fabric.
type StandinFabric struct {
	Service  []netip.AddrPort `help:"Addresses of the services." required:"" placeholder:"IP:PORT"`
	Balancer []string         `help:"Balancers as IP@OPERATOR, the IP of --bind and the operator's page." required:"" placeholder:"IP@IP:PORT"`
	Stale    time.Duration    `help:"How long a dead balancer still gets datagrams." default:"2s"`
}

// StandinUpstream is an upstream.
type StandinUpstream struct {
	Listen  netip.AddrPort `help:"Address to serve on." required:"" placeholder:"IP:PORT"`
	Service string         `help:"Name of the service." required:""`
	Name    string         `help:"Name of the upstream." default:"upstream"`
	Zone    string         `help:"Name of the availability zone." default:"zone-1"`
	Slots   int            `help:"Work it takes at once." default:"5"`
	Cold    int            `help:"Work it bears while cold." default:"1"`
	Answers int            `help:"Answers that double what it bears." default:"5"`
	Work    time.Duration  `help:"Time it works on a request." default:"20ms"`
}
