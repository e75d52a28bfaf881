@0xa1f4e5b6c7d80912;

using import "annotations.capnp".unit;
using import "annotations.capnp".doc;
using import "annotations.capnp".low;
using import "annotations.capnp".high;
using import "annotations.capnp".ident;
using import "annotations.capnp".section;

# ---- Settings of one daemon, read from an INI file ----

enum LogFormat $doc("How one log line is written.") {
  text @0;
  json @1;
}

enum LogLevel $doc("The least severe log line that is written.") {
  debug @0;
  info @1;
  warning @2;
  error @3;
}

struct VmSettings $section("vm") $doc("Who this daemon is and where it listens.") {
  id @0 :Text $ident("VmId") $doc("Name of this VM, as in the published list.");
  failureDomain @1 :Text $ident("DomainId") $doc("Failure domain this VM stands in.");
  httpAddress @2 :Text = "127.0.0.1:8080" $doc("Where callers and operators connect (IP:port).");
  peerAddress @3 :Text = "127.0.0.1:7946" $doc("Where other VMs connect: TCP and UDP (IP:port).");
  cpuShare @4 :Float64 = 1 $unit("share") $low(0.01) $high(1024) $doc("Share of a processor core that this VM may use.");
  cpuSpeed @5 :Float64 = 1 $unit("times") $low(0.01) $high(1024) $doc("How many times as fast as a usual core that one is.");
}

struct PlatformSettings $section("platform") $doc("The users' platform; without it the daemon serves its own interface only.") {
  store @0 :Text = "" $doc("Address of the platform's store (IP:port); empty for none.");
  readyAddress @1 :Text = "" $doc("Where the platform asks whether this VM is ready (IP:port).");
  watchersPerDomain @4 :UInt32 = 1 $unit("VMs") $low(1) $high(16) $doc("VMs of each failure domain that watch the store; the rest learn from them.");
  directoryAddress @2 :Text = "" $doc("Where callers ask which address to use (IP:port).");
  metricsAddress @3 :Text = "" $doc("Where metrics are served (IP:port); empty for nowhere.");
}

struct GatewaySettings $section("gateway") $doc("Serving published routes.") {
  leaseSeconds @0 :Float64 = 3 $unit("seconds") $low(0.1) $high(60) $doc("Two VMs may not order one engine in turns within this time.");
  reportLagSeconds @1 :Float64 = 0.3 $unit("seconds") $low(0) $high(10) $doc("Age that an engine's report can have.");
  adapterLoadSeconds @2 :Float64 = 0.25 $unit("seconds") $low(0.001) $high(60) $doc("What loading an adapter takes at first guess.");
  prefillTokensPerSecond @3 :Float64 = 38700 $unit("tokens/second") $low(1) $high(1e9) $doc("Prompt tokens an engine reads at first guess.");
  retryRatio @4 :Float64 = 0.2 $unit("share") $low(0) $high(1) $doc("Repeats that all VMs together may send to a service, as a share of its requests.");
  retrySlack @5 :Float64 = 100 $unit("retries") $low(0) $high(1e6) $doc("Repeats allowed beyond that share in each window.");
  retryWindowSeconds @6 :Float64 = 10 $unit("seconds") $low(1) $high(600) $doc("The window of both.");
  graceSeconds @7 :Float64 = 8 $unit("seconds") $low(0.5) $high(600) $doc("Time from SIGTERM to SIGKILL.");
  addressesPerDomain @9 :UInt32 = 6 $unit("VMs") $low(1) $high(64) $doc("VMs of one failure domain that callers are told of; each keeps its own connections to upstreams.");
  addressSeconds @8 :Float64 = 2 $unit("seconds") $low(0.1) $high(60) $doc("Time to live of an answer to which address to use.");
  revokeSeconds @10 :Float64 = 0 $unit("seconds") $low(0) $high(600) $doc("Time within which every VM, even a partitioned one, rejects a revoked API key; 0 for no bound.");
  quotaOverage @11 :Float64 = 0 $unit("share") $low(0) $high(1) $doc("Share by which a partitioned fleet may exceed the quota of a workspace.");
}

struct OperatorSettings $section("operators") $doc("What operators may do over HTTP.") {
  secret @0 :Text = "" $doc("Secret that 'flamingovalve drain' must send; empty refuses draining over HTTP (use SIGTERM).");
}

struct ConfigurationSettings $section("configuration") $doc("The configuration service that publishes the inventory.") {
  address @0 :Text = "127.0.0.1:8500" $doc("Address of the configuration service (IP:port).");
  watchSeconds @1 :Float64 = 20 $unit("seconds") $low(1) $high(300) $doc("Longest wait of one watch call.");
  timeoutSeconds @2 :Float64 = 2 $unit("seconds") $low(0.1) $high(30) $doc("Longest wait for an answer beyond the watch itself.");
  watchersPerDomain @3 :UInt32 = 2 $unit("VMs") $low(1) $high(16) $doc("VMs of each failure domain that watch the service; the rest learn from peers.");
  retrySeconds @4 :Float64 = 1 $unit("seconds") $low(0.1) $high(60) $doc("Pause after a failed call, before jitter.");
}

struct FleetSettings $section("fleet") $doc("Membership and authentication between VMs.") {
  keyCurrent @0 :Text = "development-only-key" $doc("Key that authenticates messages between VMs.");
  keyPrevious @1 :Text = "" $doc("Key that is still accepted while keys are rotated; empty for none.");
  probeSeconds @2 :Float64 = 1 $unit("seconds") $low(0.05) $high(60) $doc("Time between two membership probes.");
  ackSeconds @3 :Float64 = 0.3 $unit("seconds") $low(0.01) $high(10) $doc("Wait for a direct answer before indirect probes.");
  suspicionSeconds @4 :Float64 = 3 $unit("seconds") $low(0.1) $high(300) $doc("How long a suspected VM may refute before it counts as dead.");
  indirectProbes @5 :UInt32 = 3 $unit("VMs") $low(0) $high(16) $doc("VMs asked to probe on our behalf.");
  entrySeconds @6 :Float64 = 5 $unit("seconds") $low(0.5) $high(300) $doc("Time to live of an answer to which address to use.");
  seeds @9 :List(Text) $doc("Peer addresses to ask when the configuration service gives no list (IP:port, separated by commas).");
  leaveSeconds @7 :Float64 = 3 $unit("seconds") $low(0) $high(60) $doc("How long a leaving VM still accepts work, while callers learn of it.");
  open @10 :Bool = false $doc("Whether VMs may join without a published list, by way of the seeds.");
  seedPort @11 :UInt32 = 0 $low(0) $high(65535) $doc("Port at which seeds speak with other VMs; 0 for the one in their address.");
  drainSeconds @8 :Float64 = 600 $unit("seconds") $low(1) $high(86400) $doc("Longest wait for requests in progress on shutdown.");
}

struct LimitSettings $section("limits") $doc("Bounds on everything that callers can make grow.") {
  headerBytes @0 :UInt32 = 16384 $unit("bytes") $low(1024) $high(1048576) $doc("Largest request line and headers together.");
  bodyBytes @1 :UInt32 = 4194304 $unit("bytes") $low(1024) $high(1073741824) $doc("Largest request body.");
  connections @2 :UInt32 = 2000 $unit("connections") $low(4) $high(100000) $doc("Open caller connections.");
  idleSeconds @3 :Float64 = 60 $unit("seconds") $low(0.1) $high(3600) $doc("Longest time without a byte from a caller while a request is read or awaited.");
  queueRequests @4 :UInt32 = 512 $unit("requests") $low(1) $high(100000) $doc("Requests waiting for one engine.");
  applicationRate @5 :Float64 = 1000 $unit("requests/second") $low(0.1) $high(1000000) $doc("Sustained request rate of one application at this VM.");
  applicationBurst @6 :UInt32 = 1000 $unit("requests") $low(1) $high(1000000) $doc("Requests of one application above its rate.");
  requestSeconds @7 :Float64 = 120 $unit("seconds") $low(1) $high(3600) $doc("Deadline of a request that names none.");
}

struct RelaySettings $section("relay") $doc("Calls to upstreams.") {
  connectSeconds @0 :Float64 = 1 $unit("seconds") $low(0.05) $high(30) $doc("Longest wait for a connection.");
  firstByteSeconds @1 :Float64 = 15 $unit("seconds") $low(0.1) $high(600) $doc("Longest silence before the first byte of an answer.");
  chunkSeconds @2 :Float64 = 5 $unit("seconds") $low(0.1) $high(600) $doc("Longest silence between two chunks of an answer.");
  idlePoolSeconds @3 :Float64 = 20 $unit("seconds") $low(1) $high(600) $doc("Age at which an idle pooled connection is closed.");
  retryRatio @4 :Float64 = 0.2 $unit("share") $low(0) $high(1) $doc("Retries allowed as a share of successful requests.");
  retryReserve @5 :UInt32 = 10 $unit("retries") $low(0) $high(1000) $doc("Retries allowed before any success was seen.");
  breakerFailures @6 :UInt32 = 5 $unit("failures") $low(1) $high(1000) $doc("Failures in a row that open the circuit breaker of an upstream.");
  breakerSeconds @7 :Float64 = 2 $unit("seconds") $low(0.1) $high(300) $doc("How long an open circuit breaker refuses calls.");
  quarantineSeconds @8 :Float64 = 600 $unit("seconds") $low(1) $high(86400) $doc("How long a request that crashed engines stays refused.");
}

struct ClaimSettings $section("claims") $doc("Records that keep a non-idempotent request from running twice.") {
  recordSeconds @0 :Float64 = 86400 $unit("seconds") $low(60) $high(604800) $doc("Age at which a record is dropped.");
  records @1 :UInt32 = 20000 $unit("records") $low(16) $high(10000000) $doc("Records kept by one VM.");
  answerBytes @2 :UInt32 = 65536 $unit("bytes") $low(256) $high(1048576) $doc("Largest recorded answer that can be replayed.");
  keptBytes @7 :UInt32 = 16777216 $unit("bytes") $low(65536) $high(2147483648) $doc("Recorded answers kept in all; the oldest are dropped, their outcome is not.");
  acknowledgeSeconds @3 :Float64 = 1 $unit("seconds") $low(0.05) $high(30) $doc("Longest wait for another VM to acknowledge a claim.");
  permitSeconds @4 :Float64 = 300 $unit("seconds") $low(5) $high(86400) $doc("How long a permit may be used.");
  keySeconds @5 :Float64 = 600 $unit("seconds") $low(10) $high(86400) $doc("How long after it was made a caller's own idempotency key may be used.");
  listLagSeconds @8 :Float64 = 120 $unit("seconds") $low(0) $high(3600) $doc("Longest time for which two VMs may hold different lists of VMs.");
  skewSeconds @6 :Float64 = 5 $unit("seconds") $low(0) $high(300) $doc("Largest difference between a caller's clock and ours.");
}

enum EvictionPolicy $doc("Which adapter gives up its slot.") {
  leastValuable @0 $doc("The one whose requests come most rarely.");
  leastRecent @1 $doc("The one whose last request is longest ago.");
}

enum PlacementPolicy $doc("Which engine of a model serves an adapter.") {
  rendezvous @0 $doc("The first in the adapter's rendezvous order; more while it is hot.");
  random @1 $doc("Any engine, at random.");
  leastLoaded @2 $doc("The engine with the fewest requests under way from this VM.");
}

struct SchedulingSettings $section("scheduling") $doc("How the owner of an engine fills it.") {
  reportSeconds @0 :Float64 = 1 $unit("seconds") $low(0.05) $high(60) $doc("Time between two load reports read from an engine.");
  groupSeconds @1 :Float64 = 4 $unit("seconds") $low(0) $high(30) $doc("Head start of a load for each further request that waits for it.");
  starvationSeconds @2 :Float64 = 10 $unit("seconds") $low(0.1) $high(600) $doc("Wait after which a request gets one turn in four, whatever its priority.");
  storeLoads @3 :UInt32 = 8 $unit("loads") $low(1) $high(1024) $doc("Loads that may be in flight across all engines.");
  claimQuietSeconds @4 :Float64 = 5 $unit("seconds") $low(0) $high(600) $doc("Wait of a new owner before it evicts from an engine that ignores fencing numbers.");
  eviction @6 :EvictionPolicy = leastValuable $doc("Which adapter gives up its slot.");
  placement @7 :PlacementPolicy = rendezvous $doc("Which engine of a model serves an adapter.");
  preemption @8 :Bool = true $doc("Whether more urgent requests may take the slots of less urgent ones once those have run out.");
  hotSeconds @5 :Float64 = 1 $unit("seconds") $low(0.01) $high(600) $doc("Expected wait at its first engine that gives an adapter one more engine.");
}

struct LoggingSettings $section("logging") $doc("Log output of the daemon.") {
  level @0 :LogLevel = info $doc("Least severe line written.");
  format @1 :LogFormat = text $doc("One line of text, or one JSON object a line.");
}

# ---- Inventory, published by the configuration service as JSON ----

enum Priority $doc("Order in which waiting requests are served.") {
  urgent @0 $doc("Status answers and callers on the line.");
  priority @1 $doc("Brands that never wait behind ordinary ones.");
  ordinary @2 $doc("Everything else.");
}

enum VmState $doc("State of a VM in the published list.") {
  live @0;
  leaving @1;
}

struct Application $doc("An application that may call.") {
  id @0 :Text $ident("ApplicationId") $doc("Name of the application.");
  priority @1 :Priority = ordinary $doc("Priority of its requests.");
  secretSha256 @2 :Text = "" $doc("SHA-256, in hex, of its secret; empty when it needs none.");
}

struct Adapter $doc("A LoRA adapter of one base model.") {
  id @0 :Text $ident("AdapterId") $doc("Name of the adapter.");
  model @1 :Text $ident("ModelId") $doc("Base model that it extends.");
  versions @2 :List(Text) $doc("Versions that may be asked for, oldest first.");
  current @3 :Text $ident("VersionId") $doc("Version that a request gets which names none.");
  applications @4 :List(Text) $doc("Applications that may use it.");
}

struct Engine $doc("A model engine: an upstream that runs adapters.") {
  id @0 :Text $ident("EngineId") $doc("Name of the engine.");
  model @1 :Text $ident("ModelId") $doc("Base model that it runs.");
  address @2 :Text $doc("Where it listens (IP:port).");
  failureDomain @3 :Text $ident("DomainId") $doc("Failure domain that it stands in.");
  slots @4 :UInt32 = 4 $unit("adapters") $low(1) $high(100000) $doc("Adapters that it can hold.");
  batch @5 :UInt32 = 8 $unit("requests") $low(1) $high(100000) $doc("Requests that it runs at once.");
  fencing @6 :Bool = true $doc("Whether it refuses an order with an old fencing number.");
  leaving @7 :Bool = false $doc("Whether it is being taken out of service.");
}

struct ServiceCall $doc("One call of a plain service.") {
  id @0 :Text $ident("CallId") $doc("Name of the call.");
  idempotent @1 :Bool = false $doc("Whether it may be repeated.");
  priority @2 :Priority = ordinary $doc("Priority of the call.");
}

struct Service $doc("A plain service beside the engines.") {
  id @0 :Text $ident("ServiceId") $doc("Name of the service.");
  addresses @1 :List(Text) $doc("Where its replicas listen (IP:port).");
  calls @2 :List(ServiceCall) $doc("Its calls.");
  applications @3 :List(Text) $doc("Applications that may call it.");
}

struct PublishedVm $doc("One entry of the published list of VMs.") {
  id @0 :Text $ident("VmId") $doc("Name of the VM.");
  failureDomain @1 :Text $ident("DomainId") $doc("Failure domain that it stands in.");
  httpAddress @2 :Text $doc("Where callers connect (IP:port).");
  peerAddress @3 :Text $doc("Where other VMs connect (IP:port).");
  state @4 :VmState = live $doc("Live or leaving.");
}

struct PageReference $doc("One page of the inventory and its digest.") {
  key @0 :Text $doc("Key of the page in the configuration service.");
  sha256 @1 :Text $doc("SHA-256, in hex, of the page.");
}

struct Manifest $doc("Names one whole version of the inventory.") {
  version @0 :UInt64 = 0 $low(1) $high(1e18) $doc("Number of the version; never goes down.");
  pages @1 :List(PageReference) $doc("Its pages.");
}

struct Page $doc("A part of the inventory, under a megabyte.") {
  applications @0 :List(Application) $doc("Applications.");
  adapters @1 :List(Adapter) $doc("Adapters.");
  engines @2 :List(Engine) $doc("Engines.");
  services @3 :List(Service) $doc("Plain services.");
}

struct VmList $doc("The published list of VMs.") {
  revision @0 :UInt64 = 0 $low(1) $high(1e18) $doc("Number of the list; never goes down.");
  vms @1 :List(PublishedVm) $doc("VMs, in any order.");
}
