@0xa1f4e5b6c7d80912;

using import "annotations.capnp".unit;
using import "annotations.capnp".doc;
using import "annotations.capnp".low;
using import "annotations.capnp".high;
using import "annotations.capnp".ident;
using import "annotations.capnp".section;

# ---- Settings of one daemon, read from an INI file ----

enum LogFormat $doc("Format of a log line.") {
  text @0;
  json @1;
}

enum LogLevel $doc("Severity threshold of the log lines that are written.") {
  debug @0;
  info @1;
  warning @2;
  error @3;
}

struct VmSettings $section("vm") $doc("Identity of this VM and the addresses at which it listens.") {
  id @0 :Text $ident("VmId") $doc("Name of this VM, as in the published list.");
  failureDomain @1 :Text $ident("DomainId") $doc("Failure domain of this VM.");
  httpAddress @2 :Text = "127.0.0.1:8080" $doc("Address at which callers and operators connect (IP:port).");
  peerAddress @3 :Text = "127.0.0.1:7946" $doc("Address at which other VMs connect, over TCP and UDP (IP:port).");
  cpuShare @4 :Float64 = 1 $unit("share") $low(0.01) $high(1024) $doc("Share of a processor core that this VM may use.");
  cpuSpeed @5 :Float64 = 1 $unit("times") $low(0.01) $high(1024) $doc("Speed of that core relative to a typical core.");
  memoryMb @6 :Float64 = 0 $unit("MB") $low(0) $high(16777216) $doc("Memory that this process may use; 0 if unknown.");
  linkMbps @7 :Float64 = 0 $unit("Mbit/s") $low(0) $high(1e6) $doc("Bandwidth of the link of this VM; 0 if unknown.");
}

struct PlatformSettings $section("platform") $doc("The platform of the users; without its store the daemon serves only its own interface.") {
  store @0 :Text = "" $doc("Address of the platform's store (IP:port); empty for none.");
  readyAddress @1 :Text = "" $doc("Address of the readiness check of the platform (IP:port).");
  watchersPerDomain @4 :UInt32 = 1 $unit("VMs") $low(1) $high(16) $doc("VMs of each failure domain that watch the store; the others fetch updates from them.");
  directoryAddress @2 :Text = "" $doc("Address at which callers look up the VMs to use (IP:port).");
  metricsAddress @3 :Text = "" $doc("Address at which metrics are served (IP:port); empty to disable.");
}

struct GatewaySettings $section("gateway") $doc("Serving of published routes.") {
  leaseSeconds @0 :Float64 = 3 $unit("seconds") $low(0.1) $high(60) $doc("Time within which two VMs must not alternate in sending orders to one engine.");
  reportLagSeconds @1 :Float64 = 0.3 $unit("seconds") $low(0) $high(10) $doc("Maximum age of an engine's report.");
  adapterLoadSeconds @2 :Float64 = 0.25 $unit("seconds") $low(0.001) $high(60) $doc("Initial estimate of the time to load an adapter.");
  prefillTokensPerSecond @3 :Float64 = 38700 $unit("tokens/second") $low(1) $high(1e9) $doc("Initial estimate of the prefill speed of an engine.");
  retryRatio @4 :Float64 = 0.2 $unit("share") $low(0) $high(1) $doc("Retries that all VMs together may send to a service, as a share of its requests.");
  retrySlack @5 :Float64 = 100 $unit("retries") $low(0) $high(1e6) $doc("Retries allowed beyond that share in each window.");
  retryWindowSeconds @6 :Float64 = 10 $unit("seconds") $low(1) $high(600) $doc("Length of the window of the retry budget.");
  graceSeconds @7 :Float64 = 8 $unit("seconds") $low(0.5) $high(600) $doc("Time from SIGTERM to SIGKILL.");
  addressesPerDomain @9 :UInt32 = 6 $unit("VMs") $low(1) $high(64) $doc("VMs of one failure domain that lookups return; each keeps its own connections to upstreams.");
  addressSeconds @8 :Float64 = 2 $unit("seconds") $low(0.1) $high(60) $doc("Time to live of the answer to an address lookup.");
  revokeSeconds @10 :Float64 = 0 $unit("seconds") $low(0) $high(600) $doc("Time within which every VM, even a partitioned one, rejects a revoked API key; 0 for no bound.");
  quotaOverage @11 :Float64 = 0 $unit("share") $low(0) $high(1) $doc("Share by which a partitioned fleet may exceed the quota of a workspace.");
  fairShares @12 :Bool = true $doc("Whether workspaces share places in proportion to their weights while requests wait.");
  workspaceWeights @13 :List(Text) $doc("Weights of workspaces as NAME=WEIGHT, separated by commas; a workspace that is not named has weight 1.");
  fetchBudget @14 :Bool = true $doc("Whether fetches of adapters are weighed by the demand for the weight store.");
  streamGaps @15 :Bool = true $doc("Whether long prompts are kept away from engines whose streams would pause for too long.");
  sharedCalls @16 :Bool = true $doc("Whether one VM chooses the upstream for the calls of a plain service from all VMs.");
  lateRequestsYield @19 :Bool = true $doc("Whether engines prefill requests that are expected to be late after all others.");
  heldShare @17 :Float64 = 0.25 $unit("share") $low(0.01) $high(1) $doc("Share of the memory of a VM that data held for callers may take.");
  fewestAddressesPerDomain @18 :UInt32 = 3 $unit("VMs") $low(1) $high(64) $doc("Fewest VMs of one failure domain that a lookup returns if the VM that answers leaves itself out, as it is overloaded.");
}

struct OperatorSettings $section("operators") $doc("Operations over HTTP.") {
  secret @0 :Text = "" $doc("Secret that 'flamingovalve drain' must send; if empty, draining over HTTP is refused (use SIGTERM).");
}

struct ConfigurationSettings $section("configuration") $doc("The configuration service that publishes the inventory.") {
  address @0 :Text = "127.0.0.1:8500" $doc("Address of the configuration service (IP:port).");
  watchSeconds @1 :Float64 = 20 $unit("seconds") $low(1) $high(300) $doc("Maximum wait of one watch call.");
  timeoutSeconds @2 :Float64 = 2 $unit("seconds") $low(0.1) $high(30) $doc("Maximum wait for an answer, in addition to the wait of a watch call.");
  watchersPerDomain @3 :UInt32 = 2 $unit("VMs") $low(1) $high(16) $doc("VMs of each failure domain that watch the service; the others fetch updates from peers.");
  retrySeconds @4 :Float64 = 1 $unit("seconds") $low(0.1) $high(60) $doc("Delay after a failed call, before backoff and jitter.");
}

struct FleetSettings $section("fleet") $doc("Membership and authentication between VMs.") {
  keyCurrent @0 :Text = "development-only-key" $doc("Key that authenticates messages between VMs.");
  keyPrevious @1 :Text = "" $doc("Previous key, still accepted during key rotation; empty for none.");
  probeSeconds @2 :Float64 = 1 $unit("seconds") $low(0.05) $high(60) $doc("Interval between membership probes.");
  ackSeconds @3 :Float64 = 0.3 $unit("seconds") $low(0.01) $high(10) $doc("Wait for a direct acknowledgement before indirect probes are sent.");
  suspicionSeconds @4 :Float64 = 3 $unit("seconds") $low(0.1) $high(300) $doc("Time in which a suspected VM can refute the suspicion before it counts as dead.");
  indirectProbes @5 :UInt32 = 3 $unit("VMs") $low(0) $high(16) $doc("VMs that are asked to probe an unresponsive VM.");
  entrySeconds @6 :Float64 = 5 $unit("seconds") $low(0.5) $high(300) $doc("Time to live of the answer to an address lookup.");
  seeds @9 :List(Text) $doc("Peer addresses to ask when the configuration service gives no list (IP:port, separated by commas).");
  leaveSeconds @7 :Float64 = 3 $unit("seconds") $low(0) $high(60) $doc("Time for which a leaving VM still accepts work, so that callers can stop using it.");
  open @10 :Bool = false $doc("Whether VMs may join through the seeds, without a published list.");
  seedPort @11 :UInt32 = 0 $low(0) $high(65535) $doc("Port at which seeds accept connections from other VMs; 0 for the port in their address.");
  drainSeconds @8 :Float64 = 600 $unit("seconds") $low(1) $high(86400) $doc("Maximum wait for requests in progress on shutdown.");
}

struct LimitSettings $section("limits") $doc("Limits on resources that callers can use.") {
  headerBytes @0 :UInt32 = 16384 $unit("bytes") $low(1024) $high(1048576) $doc("Maximum size of the request line and headers together.");
  bodyBytes @1 :UInt32 = 4194304 $unit("bytes") $low(1024) $high(1073741824) $doc("Maximum size of a request body.");
  connections @2 :UInt32 = 2000 $unit("connections") $low(4) $high(100000) $doc("Maximum number of open connections from callers.");
  idleSeconds @3 :Float64 = 60 $unit("seconds") $low(0.1) $high(3600) $doc("Maximum time without a byte from a caller while a request is read or awaited.");
  queueRequests @4 :UInt32 = 512 $unit("requests") $low(1) $high(100000) $doc("Maximum number of requests waiting for one engine.");
  applicationRate @5 :Float64 = 1000 $unit("requests/second") $low(0.1) $high(1000000) $doc("Sustained request rate of one application at this VM.");
  applicationBurst @6 :UInt32 = 1000 $unit("requests") $low(1) $high(1000000) $doc("Requests that one application may send in a burst above its rate.");
  requestSeconds @7 :Float64 = 120 $unit("seconds") $low(1) $high(3600) $doc("Deadline of a request that specifies none.");
}

struct RelaySettings $section("relay") $doc("Calls to upstreams.") {
  connectSeconds @0 :Float64 = 1 $unit("seconds") $low(0.05) $high(30) $doc("Maximum wait for a connection.");
  firstByteSeconds @1 :Float64 = 15 $unit("seconds") $low(0.1) $high(600) $doc("Maximum wait for the first byte of an answer.");
  chunkSeconds @2 :Float64 = 5 $unit("seconds") $low(0.1) $high(600) $doc("Maximum time between two chunks of an answer.");
  idlePoolSeconds @3 :Float64 = 20 $unit("seconds") $low(1) $high(600) $doc("Idle time after which a pooled connection is closed.");
  retryRatio @4 :Float64 = 0.2 $unit("share") $low(0) $high(1) $doc("Retries allowed as a share of successful requests.");
  retryReserve @5 :UInt32 = 10 $unit("retries") $low(0) $high(1000) $doc("Retries allowed before any request has succeeded.");
  breakerFailures @6 :UInt32 = 5 $unit("failures") $low(1) $high(1000) $doc("Consecutive failures that open the circuit breaker of an upstream.");
  breakerSeconds @7 :Float64 = 2 $unit("seconds") $low(0.1) $high(300) $doc("Time for which an open circuit breaker refuses calls.");
  quarantineSeconds @8 :Float64 = 600 $unit("seconds") $low(1) $high(86400) $doc("Time for which a request that crashed engines is refused.");
  answerBytes @9 :UInt32 = 67108864 $unit("bytes") $low(65536) $high(2147483648) $doc("Maximum size of an answer of an upstream. One that is larger is broken off.");
  heldAnswerBytes @10 :UInt32 = 1048576 $unit("bytes") $low(4096) $high(1073741824) $doc("Size up to which an answer is read as a whole. One that is larger is passed on as it arrives and not retried.");
}

struct ClaimSettings $section("claims") $doc("Records that prevent a non-idempotent request from running twice.") {
  recordSeconds @0 :Float64 = 86400 $unit("seconds") $low(60) $high(604800) $doc("Age at which a record is dropped.");
  records @1 :UInt32 = 20000 $unit("records") $low(16) $high(10000000) $doc("Maximum number of records on one VM.");
  answerBytes @2 :UInt32 = 65536 $unit("bytes") $low(256) $high(1048576) $doc("Maximum size of a recorded answer that can be replayed.");
  keptBytes @7 :UInt32 = 16777216 $unit("bytes") $low(65536) $high(2147483648) $doc("Maximum size of all recorded answers; the oldest are dropped, but their outcomes are kept.");
  acknowledgeSeconds @3 :Float64 = 1 $unit("seconds") $low(0.05) $high(30) $doc("Maximum wait for another VM to acknowledge a claim.");
  permitSeconds @4 :Float64 = 300 $unit("seconds") $low(5) $high(86400) $doc("Time for which a permit is valid.");
  keySeconds @5 :Float64 = 600 $unit("seconds") $low(10) $high(86400) $doc("Time for which a caller's own idempotency key is valid after its creation.");
  listLagSeconds @8 :Float64 = 120 $unit("seconds") $low(0) $high(3600) $doc("Maximum time for which two VMs can hold different lists of VMs.");
  skewSeconds @6 :Float64 = 5 $unit("seconds") $low(0) $high(300) $doc("Maximum difference between the clocks of a caller and a VM.");
}

enum EvictionPolicy $doc("How the eviction victim is chosen when an adapter needs a slot.") {
  leastValuable @0 $doc("The adapter that is requested least often.");
  leastRecent @1 $doc("The adapter that was least recently requested.");
}

enum PlacementPolicy $doc("Which engine of a model serves an adapter.") {
  rendezvous @0 $doc("The first engine in the adapter's rendezvous order; further ones while the adapter is hot.");
  random @1 $doc("An engine chosen at random.");
  leastLoaded @2 $doc("The engine with the fewest requests in progress from this VM.");
}

struct SchedulingSettings $section("scheduling") $doc("Scheduling of requests and adapter loads by the owner of an engine.") {
  reportSeconds @0 :Float64 = 1 $unit("seconds") $low(0.05) $high(60) $doc("Interval between reads of the load report of an engine.");
  groupSeconds @1 :Float64 = 4 $unit("seconds") $low(0) $high(30) $doc("Waiting time credited to a load for each further request that waits for it.");
  starvationSeconds @2 :Float64 = 10 $unit("seconds") $low(0.1) $high(600) $doc("Wait after which a request gets one turn in four, regardless of its priority.");
  storeLoads @3 :UInt32 = 8 $unit("loads") $low(1) $high(1024) $doc("Maximum number of loads in flight across all engines.");
  claimQuietSeconds @4 :Float64 = 5 $unit("seconds") $low(0) $high(600) $doc("Wait of a new owner before it evicts from an engine that ignores fencing numbers.");
  eviction @6 :EvictionPolicy = leastValuable $doc("How the eviction victim is chosen when an adapter needs a slot.");
  placement @7 :PlacementPolicy = rendezvous $doc("Which engine of a model serves an adapter.");
  preemption @8 :Bool = true $doc("Whether more urgent requests may take the slot of a less urgent adapter once its running requests have finished.");
  hotSeconds @5 :Float64 = 1 $unit("seconds") $low(0.01) $high(600) $doc("Expected wait at its first engine above which an adapter gets a further engine.");
}

struct LoggingSettings $section("logging") $doc("Log output of the daemon.") {
  level @0 :LogLevel = info $doc("Minimum severity of the log lines that are written.");
  format @1 :LogFormat = text $doc("Plain text or one JSON object per line.");
}

# ---- Inventory, published by the configuration service as JSON ----

enum Priority $doc("Order in which waiting requests are served.") {
  urgent @0 $doc("Status answers and callers on the line.");
  priority @1 $doc("Brands whose requests never wait for ordinary ones.");
  ordinary @2 $doc("All other requests.");
}

enum VmState $doc("State of a VM in the published list.") {
  live @0;
  leaving @1;
}

struct Application $doc("An application that may send requests.") {
  id @0 :Text $ident("ApplicationId") $doc("Name of the application.");
  priority @1 :Priority = ordinary $doc("Priority of its requests.");
  secretSha256 @2 :Text = "" $doc("SHA-256, in hex, of its secret; empty if none is required.");
}

struct Adapter $doc("A LoRA adapter of one base model.") {
  id @0 :Text $ident("AdapterId") $doc("Name of the adapter.");
  model @1 :Text $ident("ModelId") $doc("Base model that it extends.");
  versions @2 :List(Text) $doc("Versions that may be requested, oldest first.");
  current @3 :Text $ident("VersionId") $doc("Version used for a request that specifies none.");
  applications @4 :List(Text) $doc("Applications that may use it.");
}

struct Engine $doc("A model engine: an upstream that runs adapters.") {
  id @0 :Text $ident("EngineId") $doc("Name of the engine.");
  model @1 :Text $ident("ModelId") $doc("Base model that it runs.");
  address @2 :Text $doc("Address at which it listens (IP:port).");
  failureDomain @3 :Text $ident("DomainId") $doc("Failure domain of the engine.");
  slots @4 :UInt32 = 4 $unit("adapters") $low(1) $high(100000) $doc("Number of adapters that it can hold.");
  batch @5 :UInt32 = 8 $unit("requests") $low(1) $high(100000) $doc("Maximum number of requests that it runs concurrently.");
  fencing @6 :Bool = true $doc("Whether it rejects orders with an old fencing number.");
  leaving @7 :Bool = false $doc("Whether it is being taken out of service.");
}

struct ServiceCall $doc("One call of a plain service.") {
  id @0 :Text $ident("CallId") $doc("Name of the call.");
  idempotent @1 :Bool = false $doc("Whether the call may run more than once.");
  priority @2 :Priority = ordinary $doc("Priority of the call.");
}

struct Service $doc("A plain service, which runs no adapters.") {
  id @0 :Text $ident("ServiceId") $doc("Name of the service.");
  addresses @1 :List(Text) $doc("Addresses of its replicas (IP:port).");
  calls @2 :List(ServiceCall) $doc("Its calls.");
  applications @3 :List(Text) $doc("Applications that may call it.");
}

struct PublishedVm $doc("One entry of the published list of VMs.") {
  id @0 :Text $ident("VmId") $doc("Name of the VM.");
  failureDomain @1 :Text $ident("DomainId") $doc("Failure domain of the VM.");
  httpAddress @2 :Text $doc("Address at which callers connect (IP:port).");
  peerAddress @3 :Text $doc("Address at which other VMs connect (IP:port).");
  state @4 :VmState = live $doc("Whether the VM is live or leaving.");
}

struct PageReference $doc("One page of the inventory and its digest.") {
  key @0 :Text $doc("Key of the page in the configuration service.");
  sha256 @1 :Text $doc("SHA-256, in hex, of the page.");
}

struct Manifest $doc("Lists the pages of one complete version of the inventory.") {
  version @0 :UInt64 = 0 $low(1) $high(1e18) $doc("Number of the version; never decreases.");
  pages @1 :List(PageReference) $doc("Its pages.");
}

struct Page $doc("A part of the inventory, smaller than one megabyte.") {
  applications @0 :List(Application) $doc("Applications.");
  adapters @1 :List(Adapter) $doc("Adapters.");
  engines @2 :List(Engine) $doc("Engines.");
  services @3 :List(Service) $doc("Plain services.");
}

struct VmList $doc("The published list of VMs.") {
  revision @0 :UInt64 = 0 $low(1) $high(1e18) $doc("Revision of the list; never decreases.");
  vms @1 :List(PublishedVm) $doc("VMs, in any order.");
}
