@0xc7a2d4f1e6b38057;

using import "annotations.capnp".doc;
using import "annotations.capnp".unit;
using import "annotations.capnp".ident;

# ---- Shared types ----

enum MemberState $doc("State of a VM as seen by another VM.") {
  alive @0;
  suspect @1;
  dead @2;
  leaving @3;
}

enum ClaimState $doc("State of a claim key at a holder.") {
  absent @0 $doc("No record.");
  claimed @1 $doc("An executor may have sent the request upstream.");
  finished @2 $doc("The answer is recorded.");
  sealed @3 $doc("The request can never run.");
  unknown @4 $doc("The request may have run; the outcome is unknown.");
  refused @5 $doc("The holder does not acknowledge this claim.");
}

struct Header $doc("One HTTP header.") {
  name @0 :Text;
  text @1 :Text;
}

# ---- Rumours, sent in membership datagrams ----

struct MemberRumour $doc("The state of one VM.") {
  vm @0 :Text $ident("VmId");
  incarnation @1 :UInt64 $ident("Incarnation");
  counter @2 :UInt32 $doc("Incremented by the VM itself to refute a suspicion.");
  state @3 :MemberState;
  domain @4 :Text $ident("DomainId") $doc("Its failure domain; empty if the published list of VMs states it.");
  httpAddress @5 :Text $doc("Address at which callers connect; empty if the published list of VMs states it.");
  cores @6 :Float64 $unit("cores") $doc("Processor time that it may use; 0 if unknown.");
  linkMbps @7 :Float64 $unit("Mbit/s") $doc("Bandwidth of its link; 0 if unknown.");
}

struct CatalogueRumour $doc("Revision of the published documents that a VM holds.") {
  vm @0 :Text $ident("VmId");
  revision @1 :UInt64 $doc("Revision up to which the VM knows all changes and announces them.");
  removalsSince @2 :UInt64 $doc("The VM knows each document that was deleted after this revision.");
}

struct WatchRumour $doc("Whether a VM can reach the store of published documents.") {
  vm @0 :Text $ident("VmId");
  incarnation @1 :UInt64 $ident("Incarnation");
  sequence @2 :UInt32 $doc("Incremented by the VM with each change.");
  lost @3 :Bool $doc("Whether the store does not answer the VM.");
}

struct OwnerRumour $doc("The VM that owns a group and sends orders to its engines.") {
  group @0 :Text $ident("GroupId");
  vm @1 :Text $ident("VmId");
  incarnation @2 :UInt64 $ident("Incarnation");
  epoch @3 :UInt64 $doc("Incremented with each new owner; the highest epoch is valid.");
  provisional @4 :Bool $doc("Claimed while most VMs were not visible; any other claim of the same epoch takes precedence.");
}

struct VersionRumour $doc("The highest inventory version and VM list that a VM holds.") {
  vm @0 :Text $ident("VmId");
  version @1 :UInt64 $doc("Version of the inventory.");
  listRevision @2 :UInt64 $doc("Revision of the published list of VMs.");
}

struct PoisonRumour $doc("A request that was running when an engine crashed.") {
  fingerprint @0 :UInt64 $ident("Fingerprint");
  crashes @1 :UInt32 $doc("Crashes in which it was the only suspect or was running again.");
  remaining @2 :Float64 $unit("seconds") $doc("Time until the record expires.");
}

struct EndRumour $doc("The end of an upstream, with what the requests lost with it share with others.") {
  upstream @0 :Text $ident("UpstreamId");
  born @1 :UInt64 $unit("milliseconds") $doc("When the upstream started, as it says itself; 0 if unknown.");
  age @2 :Float64 $unit("seconds") $doc("Time since a VM found it first.");
  remaining @3 :Float64 $unit("seconds") $doc("Time until the record expires.");
  lost @4 :List(UInt64) $ident("Fingerprint") $doc("Causes of the requests that were lost with it.");
  exonerated @5 :List(UInt64) $ident("Fingerprint") $doc("Those of them with a success since.");
  proven @6 :List(UInt64) $ident("Fingerprint") $doc("Those of them with a success known when they were lost.");
  contrast @7 :Float64 = -1 $unit("seconds") $doc("Time since the first of them was exonerated; negative if none was.");
  informed @8 :Bool $doc("Whether a success of any of them was known at the end.");
  known @9 :UInt32 $doc("Number of ends that the sender holds.");
}

struct TrialRumour $doc("A request that is suspected of ends of upstreams, and that a VM now runs once more.") {
  cause @0 :UInt64 $ident("Fingerprint") $doc("The call.");
  ends @1 :UInt32 $doc("Ends against it that the VM knew when it sent the request.");
  remaining @2 :Float64 $unit("seconds") $doc("Time for which others should not send it.");
}

struct LimitRumour $doc("A rate limit that an upstream has announced to a VM.") {
  upstream @0 :Text $ident("UpstreamId");
  rate @1 :Float64 $doc("Requests per second that it accepts from all VMs together.");
}

struct PathRumour $doc("The services whose upstreams a VM reaches only through other VMs.") {
  vm @0 :Text $ident("VmId");
  incarnation @1 :UInt64 $ident("Incarnation");
  sequence @2 :UInt32 $doc("Incremented by the VM with each change.");
  services @3 :List(Text) $doc("Names of the services; empty if it reaches all by itself.");
}

struct StoreRumour $doc("Use of the weight store by one VM.") {
  vm @0 :Text $ident("VmId");
  loading @1 :UInt32 $doc("Loads in flight.");
  waiting @2 :UInt32 $doc("Loads requested but not yet started.");
  sequence @3 :UInt64 $doc("Incremented with each change.");
}

struct SpreadRumour $doc("How many engines a hot adapter may use.") {
  adapter @0 :Text $ident("AdapterId");
  engines @1 :UInt32;
  sequence @2 :UInt64 $unit("milliseconds") $doc("Incremented with each change.");
}

struct Rumour $doc("One update that VMs gossip.") {
  union {
    member @0 :MemberRumour;
    version @1 :VersionRumour;
    poison @2 :PoisonRumour;
    store @3 :StoreRumour;
    spread @4 :SpreadRumour;
    catalogue @5 :CatalogueRumour;
    owner @6 :OwnerRumour;
    watch @7 :WatchRumour;
    limit @8 :LimitRumour;
    path @9 :PathRumour;
    end @10 :EndRumour;
    trial @11 :TrialRumour;
  }
}

# ---- Membership datagrams ----

struct Ping $doc("Probes whether a VM responds.") {
  target @0 :Text $ident("VmId");
  origin @1 :Text $ident("VmId") $doc("VM that started the probe; differs from the sender in an indirect probe.");
  probe @2 :UInt64 $doc("Sequence number of the probe at its origin.");
}

struct Ack $doc("Answers a ping, directly or through the VM that relayed it.") {
  target @0 :Text $ident("VmId") $doc("The VM that answered.");
  origin @1 :Text $ident("VmId");
  probe @2 :UInt64;
}

struct PingRequest $doc("Asks a third VM to probe for the sender.") {
  target @0 :Text $ident("VmId");
  probe @1 :UInt64;
}

struct Datagram $doc("One membership message.") {
  sender @0 :Text $ident("VmId");
  incarnation @1 :UInt64 $ident("Incarnation");
  sequence @2 :UInt64 $doc("Incremented with each datagram; replayed numbers are rejected.");
  rumours @3 :List(Rumour);
  union {
    ping @4 :Ping;
    ack @5 :Ack;
    pingRequest @6 :PingRequest;
  }
}

# ---- Frames on a TCP connection between two VMs ----

struct Hello $doc("First frame of each side: identity of the sender and a nonce.") {
  vm @0 :Text $ident("VmId");
  incarnation @1 :UInt64 $ident("Incarnation");
  nonce @2 :Data;
}

struct Heartbeat $doc("Signals that the request is still being processed.") {
  sequence @0 :UInt32;
}

struct ForwardCompletion $doc("A completion request, forwarded to the owner of its engine.") {
  requestId @0 :Text $ident("RequestId");
  application @1 :Text $ident("ApplicationId");
  priority @2 :Text;
  adapter @3 :Text $ident("AdapterId");
  version @4 :Text $ident("VersionId");
  model @5 :Text $ident("ModelId");
  engine @6 :Text $ident("EngineId");
  path @7 :Text;
  body @8 :Data;
  stream @9 :Bool;
  offset @10 :UInt32 $unit("events") $doc("Events of the answer that the caller already has.");
  isolated @11 :Bool $doc("Whether to run the request while the engine runs no other.");
  remaining @12 :Float64 $unit("seconds") $doc("Time left until the deadline.");
  hops @13 :UInt32 $doc("Number of VMs that have forwarded the request.");
}

struct ForwardCall $doc("A call of a plain service, forwarded to its executor.") {
  requestId @0 :Text $ident("RequestId");
  application @1 :Text $ident("ApplicationId");
  service @2 :Text $ident("ServiceId");
  call @3 :Text $ident("CallId");
  contentType @4 :Text;
  body @5 :Data;
  key @6 :Text $doc("The idempotency key as the caller sent it.");
  keyTime @7 :Float64 $unit("seconds") $doc("Creation time of the key, as Unix time; 0 for a permit.");
  remaining @8 :Float64 $unit("seconds");
  hops @9 :UInt32;
}

struct Refusal $doc("A typed error in place of an answer.") {
  kind @0 :Text;
  message @1 :Text;
  ran @2 :Text;
  retryAfter @3 :Float64 $unit("seconds") $doc("Time after which to retry; 0 if none applies.");
}

struct ResponseHead $doc("Status and headers of an answer.") {
  status @0 :UInt32;
  headers @1 :List(Header);
  endsWithConnection @2 :Bool = false $doc("Whether nothing shows that the body is complete.");
}

struct Chunk $doc("A part of an answer's body.") {
  payload @0 :Data;
}

struct ResponseEnd $doc("Marks the end of an answer.") {
  complete @0 :Bool = true;
}

struct ClaimAsk $doc("Asks a holder to acknowledge an executor's claim.") {
  key @0 :Text $ident("ClaimKey");
  executor @1 :Text $ident("VmId");
  incarnation @2 :UInt64 $ident("Incarnation");
  holder @3 :UInt64 $ident("Incarnation") $doc("Incarnation of the holder that must answer; 0 for any.");
  bodyDigest @4 :Data;
}

struct ClaimTell $doc("Tells a holder the outcome of an executor's claim.") {
  key @0 :Text $ident("ClaimKey");
  executor @1 :Text $ident("VmId");
  incarnation @2 :UInt64 $ident("Incarnation");
  state @3 :ClaimState;
  status @4 :UInt32;
  contentType @5 :Text;
  answer @6 :Data;
  endsWithConnection @7 :Bool = false $doc("Whether nothing shows that the answer is complete.");
}

struct SealAsk $doc("Asks a holder to seal an unclaimed key, so that it never runs.") {
  key @0 :Text $ident("ClaimKey");
  holder @1 :UInt64 $ident("Incarnation");
  bodyDigest @2 :Data;
}

struct ClaimReply $doc("State of a key at a holder, after the holder has processed the request.") {
  state @0 :ClaimState;
  acknowledged @1 :Bool = false;
  executor @2 :Text $ident("VmId");
  incarnation @3 :UInt64 $ident("Incarnation");
  status @4 :UInt32;
  contentType @5 :Text;
  answer @6 :Data;
  sameBody @7 :Bool = true;
  endsWithConnection @8 :Bool = false $doc("Whether nothing shows that the answer is complete.");
}

struct TakeoverAsk $doc("Asks the deputy of the sender whether it has taken over an engine.") {
  engine @0 :Text $ident("EngineId");
  incarnation @1 :UInt64 $ident("Incarnation");
}

struct TakeoverReply $doc("The deputy's answer to a takeover request.") {
  takenOver @0 :Bool;
  validity @1 :Float64 $unit("seconds") $doc("Time for which the answer is valid.");
}

struct ConfigurationAsk $doc("Asks for one value that the peer holds.") {
  key @0 :Text;
  sha256 @1 :Text $doc("SHA-256, in hex, of the requested page; empty for any.");
}

struct ConfigurationReply $doc("A value of the configuration.") {
  found @0 :Bool;
  content @1 :Data $doc("The value, compressed by zlib.");
}

struct DocumentsAsk $doc("Asks for the published documents after a revision.") {
  revision @0 :UInt64;
}

struct Document $doc("One published document as read from the store.") {
  key @0 :Text;
  revision @1 :UInt64;
  content @2 :Data;
  deleted @3 :Bool;
  packed @4 :Bool $doc("Whether the content is compressed by zlib.");
  lapsed @5 :Bool $doc("Whether it was deleted around an outage of the store and may reappear.");
}

struct DocumentsReply $doc("Published documents, oldest first.") {
  documents @0 :List(Document);
  confirmedAge @1 :Float64 = inf $unit("seconds") $doc("Time since the sender's documents were last known to be current; infinite if never.");
  knownUpTo @2 :UInt64 $doc("Revision up to which the sender knows all changes; 0 if it does not say.");
  keys @3 :Data $doc("Compressed keys of all documents, if the sender does not know each one that was deleted after the revision of the ask; else empty.");
  mayHaveLapsed @4 :Bool $doc("Whether documents that the keys lack may have been deleted around an outage of the store.");
}

struct CreditAsk $doc("Asks the keeper of a workspace's quota for credit.") {
  workspace @0 :Text $ident("WorkspaceId");
  wanted @1 :Float64 $doc("Credit to take, in units of the quota.");
  unused @2 :Float64 $doc("Credit granted earlier that was not used and is given back.");
  mostLeft @3 :Float64 = inf $doc("Upper bound of the balance, from the last reply to the asking VM; infinite if there was none.");
}

struct CreditReply $doc("Grants credit or gives the time to wait.") {
  waitSeconds @0 :Float64 $unit("seconds") $doc("Estimated time until a retry can succeed; 0 if credit was granted.");
  left @1 :Float64 $doc("Remaining balance; negative while overdrawn.");
}

struct SendAsk $doc("Asks the keeper of an upstream's rate limit when to send a request to it.") {
  upstream @0 :Text $ident("UpstreamId");
  rate @1 :Float64 $doc("The limit as the asking VM knows it, in requests per second.");
  patience @2 :Float64 $unit("seconds") $doc("Longest wait for which to book the request; negative to book none.");
  uncounted @3 :UInt32 $doc("Recent requests of the asking VM that no keeper has counted.");
}

struct SendReply $doc("When a request may be sent to an upstream.") {
  waitSeconds @0 :Float64 $unit("seconds") $doc("Time until then. The request is booked if this is within its patience.");
  nextSeconds @1 :Float64 $unit("seconds") $doc("Time until a further request could be sent.");
}

enum CallOutcome $doc("How a call of a plain service ended.") {
  answered @0 $doc("The upstream returned a complete response.");
  notRun @1 $doc("The upstream did not run the call.");
  failed @2 $doc("The upstream failed, or its connection broke.");
  timedOut @3 $doc("The upstream did not respond in time or could not be reached.");
  abandoned @4 $doc("The call was not sent, its caller disconnected, or the upstream wants a rest of its VM.");
}

struct CallAsk $doc("Asks the keeper of a plain service which upstream takes a call.") {
  requestId @0 :Text $ident("RequestId");
  service @1 :Text $ident("ServiceId");
  target @2 :Float64 $unit("seconds") $doc("Time left until the answer exceeds the target latency.");
  remaining @3 :Float64 $unit("seconds") $doc("Time left until the deadline.");
  avoided @4 :List(Text) $doc("Upstreams that must not take the call.");
  domain @5 :Text $ident("DomainId") $doc("Failure domain of the asking VM.");
}

struct CallGrant $doc("The upstream that takes a call, which counts as in progress there.") {
  upstream @0 :Text $ident("UpstreamId");
  waitSeconds @1 :Float64 $unit("seconds") $doc("Expected time until the answer.");
}

struct CallEnd $doc("Tells the keeper of a plain service how a call ended.") {
  requestId @0 :Text $ident("RequestId");
  service @1 :Text $ident("ServiceId");
  upstream @2 :Text $ident("UpstreamId");
  outcome @3 :CallOutcome;
  seconds @4 :Float64 $unit("seconds") $doc("Time from sending the call to the complete response, or until it was abandoned; 0 if it was not sent or got no response.");
  bears @5 :Float64 $unit("1/second") $doc("Rejections that the upstream bears; 0 if it is not brittle.");
  rejected @6 :Bool $doc("Whether the upstream rejected the call for lack of room.");
}

struct PromptPart $doc("A part of a prompt that other prompts may have in common.") {
  id @0 :Text;
  tokens @1 :UInt32;
}

struct PlaceAsk $doc("Asks the owner of a group for a place on one of its engines.") {
  requestId @0 :Text $ident("RequestId");
  group @1 :Text $ident("GroupId");
  model @2 :Text $ident("ModelId");
  adapter @3 :Text $ident("AdapterId") $doc("Empty for the base model.");
  promptTokens @4 :UInt32;
  outputTokens @5 :UInt32 $doc("Maximum number of tokens of the answer.");
  parts @6 :List(PromptPart);
  priority @7 :UInt32 $doc("0 is the most urgent.");
  target @8 :Float64 $unit("seconds") $doc("Time left until the first event exceeds the target latency.");
  remaining @9 :Float64 $unit("seconds") $doc("Time left until the deadline.");
  avoided @10 :List(Text) $doc("Engines that have failed this request.");
  domain @11 :Text $ident("DomainId") $doc("Failure domain of the asking VM.");
  patience @12 :Float64 $unit("seconds") $doc("Time left until the caller disconnects if it receives no event.");
  mayDecline @13 :Bool $doc("Whether another group can be asked instead.");
  workspace @14 :Text $ident("WorkspaceId") $doc("Workspace of the caller; empty if its route needs no key.");
  maxEventGap @15 :Float64 $unit("seconds") $doc("Target of the longest pause between two events; 0 for none.");
  pinsSoftware @16 :Bool $doc("Whether only engines of one software version may run it.");
  software @17 :Text $doc("That version.");
}

struct PlaceGrant $doc("The engine on which a place was granted, with the adapter loaded.") {
  upstream @0 :Text $ident("UpstreamId");
  address @1 :Text;
  version @2 :UInt32 $doc("Version of the adapter on that engine; 0 if none was announced.");
  yields @3 :Bool $doc("Whether the engine should prefill the requests that can still be in time first.");
  born @4 :UInt64 $doc("Start time of the engine's process by its last report, in milliseconds by its own clock; 0 if unknown.");
}

enum PlaceOutcome $doc("How the use of a place ended.") {
  finished @0 $doc("The answer was complete.");
  refused @1 $doc("The engine did not run the request.");
  failed @2 $doc("The engine answered with an error, or too late.");
  abandoned @3 $doc("The caller disconnected.");
  lost @4 $doc("The engine could not be reached, or its connection broke.");
  deferred @5 $doc("The request was not sent, as the engine accepts none now.");
  rejected @6 $doc("The engine rejected the request and wants rest.");
}

struct PlaceEnd $doc("Releases a place.") {
  outcome @0 :PlaceOutcome;
  firstEvent @1 :Float64 $unit("seconds") $doc("Time from sending the request to its first event; 0 if none was received.");
  retryAfter @2 :Float64 $unit("seconds") $doc("Time until the engine accepts a request; 0 unless it was held back or rejected.");
  leaving @3 :Bool $doc("Whether the engine said that it is leaving.");
  maxGap @4 :Float64 $unit("seconds") $doc("Longest pause after an event, with the one in which an unfinished stream ended; 0 without events.");
  rejected @5 :Bool $doc("Whether the engine rejected the request for lack of room.");
}

struct PlaceHold $doc("Reports to a new owner a place that a former owner granted.") {
  ask @0 :PlaceAsk;
  upstream @1 :Text $ident("UpstreamId");
}

struct StreamOrigin $doc("The service and the software version that began a stream.") {
  requestId @0 :Text $ident("RequestId") $doc("Attempt that brought the first event.");
  service @1 :Text $ident("ServiceId");
  software @2 :Text $doc("Version of the software; empty if its upstreams name none.");
  age @3 :Float64 $unit("seconds") $doc("Time since the first event.");
  known @4 :Bool = true $doc("Whether the version is known.");
}

struct StreamOriginsNotice $doc("Notifies a keeper of the versions that began some streams.") {
  origins @0 :List(StreamOrigin);
}

struct StreamOriginAsk $doc("Asks which version began a stream.") {
  requestId @0 :Text $ident("RequestId");
  service @1 :Text $ident("ServiceId") $doc("Service whose versions are asked for beside.");
}

struct StreamOriginReply $doc("What a VM knows of the origin of a stream.") {
  vm @0 :Text $ident("VmId");
  origin @1 :StreamOrigin;
  isSole @2 :Bool $doc("Whether the VM lists one version of the service only.");
  soleSoftware @3 :Text $doc("That version.");
  soleSeconds @4 :Float64 $unit("seconds") $doc("For how long it has listed no other one.");
}

struct TunnelAsk $doc("Asks another VM for a connection to an upstream.") {
  upstream @0 :Text $ident("UpstreamId");
  service @1 :Text $ident("ServiceId");
  fresh @2 :Bool $doc("Whether a new connection has to prove that the upstream can be reached.");
}

struct TunnelOpened $doc("The connection is open; the bytes of both directions follow.") {
  pooled @0 :Bool $doc("Whether it was open before.");
}

struct TunnelData $doc("Bytes sent or received on a tunnelled connection.") {
  payload @0 :Data;
}

struct TunnelNotice $doc("What a response on a tunnelled connection announced to the VM that forwards it.") {
  restSeconds @0 :Float64 $unit("seconds") $doc("For how long the upstream wants no requests from it; 0 for none.");
  leaving @1 :Bool $doc("Whether the upstream is leaving.");
}

struct TunnelClosed $doc("The upstream closed a tunnelled connection.") {
  clean @0 :Bool $doc("Whether it ended in order; otherwise it was reset.");
}

struct TunnelEnd $doc("Ends a tunnel.") {
  reusable @0 :Bool $doc("Whether the connection can carry another request.");
  keepAliveSeconds @1 :Float64 = inf $unit("seconds") $doc("Time for which the upstream keeps it open while idle.");
}

struct TunnelEnded $doc("Confirms the end of a tunnel; nothing of it follows.") {
  reused @0 :Bool;
}

struct RetryLoanAsk $doc("Asks another VM for unused credit of its retry budget.") {
  service @0 :Text $ident("ServiceId");
  wanted @1 :Float64 $unit("retries") $doc("Credit that the asking VM lacks.");
  least @2 :Float64 $unit("retries") $doc("Nothing is lent if there is less than this.");
}

struct RetryLoanReply $doc("Lends credit of the retry budget, which the lender has booked as spent.") {
  granted @0 :Float64 $unit("retries") $doc("At most what was wanted.");
  available @1 :Float64 $unit("retries") $doc("What the lender has left.");
}

struct FleetCensusAsk $doc("Asks which VMs are out of touch and may be alive.") {
}

struct SilentVm $doc("A VM that is out of touch and may be alive.") {
  vm @0 :Text $ident("VmId");
  seconds @1 :Float64 $unit("seconds") $doc("For how much longer it counts.");
}

struct FleetCensusReply $doc("The VMs that the sender does not reach and that may be alive.") {
  silent @0 :List(SilentVm);
  hasShare @1 :Bool $doc("Whether the sender has a share of fleet-wide budgets, as it has counted the VMs.");
  seeds @2 :List(Text) $doc("VMs that its settings name.");
}

struct EndsAsk $doc("Asks what a VM knows of upstreams that ended.") {
  digest @0 :UInt64 $doc("Digest of the repeated ends that the sender holds; 0 asks for all.");
}

struct RefusalRecord $doc("The refusal of requests with a convicted cause.") {
  cause @0 :UInt64 $ident("Fingerprint");
  firstSeconds @1 :Float64 $unit("seconds") $doc("How long the first refusal lasts.");
  convictions @2 :UInt32 $doc("How often the cause was convicted.");
  remaining @3 :Float64 $unit("seconds") $doc("For how much longer it is refused.");
}

struct EndsReply $doc("What a VM knows of upstreams that ended.") {
  ends @0 :List(EndRumour) $doc("Empty if the digests are equal.");
  refusals @1 :List(RefusalRecord);
  covered @2 :Float64 $unit("seconds") $doc("Time for which it has known all ends, by itself or from others.");
}

struct Frame $doc("One message on a connection between two VMs.") {
  union {
    hello @0 :Hello;
    heartbeat @1 :Heartbeat;
    responseHead @2 :ResponseHead;
    chunk @3 :Chunk;
    responseEnd @4 :ResponseEnd;
    claimAsk @5 :ClaimAsk;
    claimTell @6 :ClaimTell;
    sealAsk @7 :SealAsk;
    claimReply @8 :ClaimReply;
    takeoverAsk @9 :TakeoverAsk;
    takeoverReply @10 :TakeoverReply;
    configurationAsk @11 :ConfigurationAsk;
    configurationReply @12 :ConfigurationReply;
    forwardCompletion @13 :ForwardCompletion;
    forwardCall @14 :ForwardCall;
    refusal @15 :Refusal;
    documentsAsk @16 :DocumentsAsk;
    documentsReply @17 :DocumentsReply;
    placeAsk @18 :PlaceAsk;
    placeGrant @19 :PlaceGrant;
    placeEnd @20 :PlaceEnd;
    placeHold @21 :PlaceHold;
    creditAsk @22 :CreditAsk;
    creditReply @23 :CreditReply;
    sendAsk @24 :SendAsk;
    sendReply @25 :SendReply;
    callAsk @26 :CallAsk;
    callGrant @27 :CallGrant;
    callEnd @28 :CallEnd;
    tunnelAsk @29 :TunnelAsk;
    tunnelOpened @30 :TunnelOpened;
    tunnelData @31 :TunnelData;
    tunnelNotice @32 :TunnelNotice;
    tunnelClosed @33 :TunnelClosed;
    tunnelEnd @34 :TunnelEnd;
    tunnelEnded @35 :TunnelEnded;
    streamOriginsNotice @36 :StreamOriginsNotice;
    streamOriginAsk @37 :StreamOriginAsk;
    streamOriginReply @38 :StreamOriginReply;
    retryLoanAsk @39 :RetryLoanAsk;
    retryLoanReply @40 :RetryLoanReply;
    fleetCensusAsk @41 :FleetCensusAsk;
    fleetCensusReply @42 :FleetCensusReply;
    endsAsk @43 :EndsAsk;
    endsReply @44 :EndsReply;
  }
}
