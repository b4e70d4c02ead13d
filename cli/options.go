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

// Options defines all commands and their flags. If the help of a flag names an
// environment variable, that variable sets the flag too.
type Options struct {
	program.Logs `embed:""`

	Balancer balancer.Options `cmd:"" help:"Run the balancer on an entry VM." group:"Programs"`
	Agent    agent.Options    `cmd:"" help:"Run the agent next to an upstream." group:"Programs"`

	Datagram DatagramOptions `cmd:"" help:"Run the balancer or the agent of datagram services." group:"Programs"`

	Bundle BundleOptions `cmd:"" help:"Create, check, sign and accept bundles." group:"Operators"`
	Key    KeyOptions    `cmd:"" help:"Generate keys." group:"Operators"`
	Zone   ZoneOptions   `cmd:"" help:"Take an availability zone out of service, or bring it back." group:"Operators"`
	Status StatusOptions `cmd:"" help:"List all processes and the bundle version in force in each." group:"Operators"`

	Explain ExplainOptions `cmd:"" help:"Merge logs into a trace of one request or flow." group:"Operators"`

	Demo       demo.Options       `cmd:"" help:"Run a whole site on loopback and inject faults." group:"Trials"`
	Experiment experiment.Options `cmd:"" help:"Simulate days of a datagram service in memory, with faults from a script, and compare policies." group:"Trials"`
	Bench      capacity.Options   `cmd:"" help:"Measure how state, traffic and processor time grow with the size of the fleet." group:"Trials"`
	Call       CallOptions        `cmd:"" help:"Send one request as a caller." group:"Trials"`
	Standin    StandinOptions     `cmd:"" help:"Run a stand-in for the platform, the fabric or an upstream." group:"Trials"`

	Version kong.VersionFlag `help:"Print the version and exit."`
}

// DatagramOptions are the commands that run the programs of datagram services.
type DatagramOptions struct {
	Balancer node.Options `cmd:"" help:"Run the balancer of datagram services on an entry VM."`
	Agent    node.Options `cmd:"" help:"Run the agent of datagram services next to an upstream."`
}

// PlatformOptions are the flags of all commands that read or write bundles on the
// platform.
type PlatformOptions struct {
	Platform string   `help:"URL of the platform's object API." required:"" env:"POMELOWAY_PLATFORM" placeholder:"URL"`
	Token    string   `help:"Bearer token for the platform." env:"POMELOWAY_TOKEN"`
	Trust    []string `help:"Public keys of the operators whose signatures on bundles are accepted." required:"" env:"POMELOWAY_TRUST"`
}

// SignOptions are the flags of all commands that sign a bundle.
type SignOptions struct {
	PlatformOptions
	Sign     string `help:"File with the operator's secret key, as written by pomeloway key operator." required:"" type:"path" env:"POMELOWAY_SIGN" placeholder:"FILE"`
	Password string `help:"Password that encrypts the secret key." env:"POMELOWAY_PASSWORD"`
	Author   string `help:"Name of the signer; shown in the history and to operators whose bundle conflicts with this one." env:"POMELOWAY_AUTHOR" default:"${user}"`
}

// BundleOptions are the bundle commands.
type BundleOptions struct {
	Init     BundleInit     `cmd:"" help:"Print a template for the first bundle."`
	Validate BundleValidate `cmd:"" help:"Check a bundle and print all findings."`
	Diff     BundleDiff     `cmd:"" help:"Show how a bundle differs from the one in force."`
	Sign     BundleSign     `cmd:"" help:"Sign a bundle as the child of the one in force."`
	Accept   BundleAccept   `cmd:"" help:"Bring a signed bundle into force."`
	Show     BundleShow     `cmd:"" help:"Print an accepted bundle."`
	History  BundleHistory  `cmd:"" help:"List accepted bundles, newest first."`
}

// BundleInit are the options of the bundle init command.
type BundleInit struct {
	Service     bundle.Name    `help:"Name of the first service." default:"web"`
	Address     netip.AddrPort `help:"Address of the first service." default:"192.0.2.1:443"`
	Zone        []bundle.Name  `help:"Names of the availability zones." default:"zone-1"`
	Fingerprint string         `help:"Fingerprint of the first fleet key." required:""`
}

// BundleValidate are the options of the bundle validate command.
type BundleValidate struct {
	File string `arg:"" help:"YAML file of the bundle." type:"existingfile"`
}

// BundleDiff are the options of the bundle diff command.
type BundleDiff struct {
	PlatformOptions
	File string `arg:"" help:"YAML file of the bundle." type:"existingfile"`
}

// BundleSign are the options of the bundle sign command.
type BundleSign struct {
	SignOptions
	File string `arg:"" help:"YAML file of the bundle." type:"existingfile"`
	Out  string `help:"File for the signed bundle; FILE.signed if not given." type:"path" placeholder:"FILE"`
}

// BundleAccept are the options of the bundle accept command.
type BundleAccept struct {
	PlatformOptions
	File string `arg:"" help:"File of the signed bundle." type:"existingfile"`
}

// BundleShow are the options of the bundle show command.
type BundleShow struct {
	PlatformOptions
	Version bundle.Version `arg:"" optional:"" help:"Version to print; the one in force if not given."`
}

// BundleHistory are the options of the bundle history command.
type BundleHistory struct {
	PlatformOptions
	Most int `help:"Maximum number of versions to list." default:"10"`
}

// KeyOptions are the key commands.
type KeyOptions struct {
	New      KeyNew      `cmd:"" help:"Print a new fleet key and its fingerprint."`
	Operator KeyOperator `cmd:"" help:"Write a new key pair for signing bundles."`
}

// KeyNew are the options of the key new command.
type KeyNew struct {
	ID bundle.KeyID `help:"Number of the key, 1 to 255." default:"1"`
}

// KeyOperator are the options of the key operator command.
type KeyOperator struct {
	File     string `arg:"" help:"File for the secret key; the public key is written to FILE.pub." type:"path"`
	Password string `help:"Password that encrypts the secret key." env:"POMELOWAY_PASSWORD"`
}

// ZoneOptions are the zone commands.
type ZoneOptions struct {
	Out ZoneStateChange `cmd:"" help:"Take an availability zone out of service; its flows are abandoned."`
	In  ZoneStateChange `cmd:"" help:"Bring an availability zone back into service."`
}

// ZoneStateChange are the options of the zone out and zone in commands.
type ZoneStateChange struct {
	SignOptions
	Zone bundle.Name `arg:"" help:"Name of the availability zone."`
}

// StatusOptions are the options of the status command.
type StatusOptions struct {
	Platform string         `help:"URL of the platform's object API." env:"POMELOWAY_PLATFORM" placeholder:"URL"`
	Token    string         `help:"Bearer token for the platform." env:"POMELOWAY_TOKEN"`
	From     netip.AddrPort `help:"Read the list of members from this process instead of the platform." placeholder:"IP:PORT"`
	Wait     bool           `help:"Wait until the newest version is in force in every process, for at most the duration of --timeout."`
	Timeout  time.Duration  `help:"Maximum duration of the command." default:"30s"`
	JSON     bool           `help:"Print JSON." name:"json"`
}

// CallOptions are the options of the call command.
type CallOptions struct {
	Address netip.AddrPort `arg:"" help:"Address of the service."`
	URL     string         `arg:"" help:"URL, such as https://letters/screen."`
	CACert  string         `help:"PEM file of certificates to trust in addition to the system's." type:"existingfile" name:"cacert" placeholder:"FILE"`
	Method  string         `help:"Method of the request." default:"GET"`
	Data    string         `help:"Body of the request."`
	Key     string         `help:"Idempotency key, or new to request one from the service first."`
	Timeout time.Duration  `help:"Maximum duration of the command." default:"30s"`
}

// StandinOptions are the commands that run stand-ins.
type StandinOptions struct {
	Platform StandinPlatform `cmd:"" help:"Run a stand-in for the platform: an object store with faults that can be switched on."`
	Fabric   StandinFabric   `cmd:"" help:"Run a stand-in for the fabric: a network that sends each datagram to a random balancer."`
	Upstream StandinUpstream `cmd:"" help:"Run a stand-in for an upstream with slots, cold start and draining."`
}

// StandinPlatform are the options of the platform's stand-in.
type StandinPlatform struct {
	Listen netip.AddrPort `help:"Address to serve on." default:"127.0.0.1:7100" env:"POMELOWAY_LISTEN"`
	Reads  float64        `help:"Maximum number of reads per second; 0 for no limit." default:"2000"`
	Writes float64        `help:"Maximum number of writes per second; 0 for no limit." default:"300"`
}

// StandinFabric are the options of the fabric's stand-in.
type StandinFabric struct {
	Service  []netip.AddrPort `help:"Addresses of the services." required:"" placeholder:"IP:PORT"`
	Balancer []string         `help:"Balancers as IP@IP:PORT: the IP of the balancer's --bind and the address of its --operator." required:"" placeholder:"IP@IP:PORT"`
	Stale    time.Duration    `help:"Time for which an unreachable balancer still receives datagrams." default:"2s"`
}

// StandinUpstream are the options of an upstream's stand-in.
type StandinUpstream struct {
	Listen  netip.AddrPort `help:"Address to serve on." required:"" placeholder:"IP:PORT"`
	Service string         `help:"Name of the service." required:""`
	Name    string         `help:"Name of the upstream." default:"upstream"`
	Zone    string         `help:"Name of the availability zone." default:"zone-1"`
	Slots   int            `help:"Maximum number of concurrent requests." default:"5"`
	Cold    int            `help:"Maximum number of concurrent requests right after a cold start." default:"1"`
	Answers int            `help:"Number of successful responses after which a cold upstream doubles its maximum of concurrent requests." default:"5"`
	Work    time.Duration  `help:"Time to process a request; five times as long while cold." default:"20ms"`
}
