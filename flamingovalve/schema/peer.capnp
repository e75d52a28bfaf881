@0xc7a2d4f1e6b38057;

using import "annotations.capnp".doc;
using import "annotations.capnp".unit;
using import "annotations.capnp".ident;

# ---- Shared parts ----

enum MemberState $doc("What a VM believes of another.") {
  alive @0;
  suspect @1;
  dead @2;
  leaving @3;
}

enum ClaimState $doc("What a holder knows of a claim key.") {
  absent @0 $doc("No record.");
  claimed @1 $doc("An executor may have sent it upstream.");
  finished @2 $doc("The answer is recorded.");
  sealed @3 $doc("It can never run.");
  unknown @4 $doc("It may have run; the outcome is lost.");
  refused @5 $doc("The holder will not acknowledge this claim.");
}

struct Header $doc("One HTTP header.") {
  name @0 :Text;
  text @1 :Text;
}

# ---- Rumours, carried by membership datagrams ----

struct MemberRumour $doc("The state of one VM.") {
  vm @0 :Text $ident("VmId");
  incarnation @1 :UInt64 $ident("Incarnation");
  counter @2 :UInt32 $doc("Raised by the VM itself to refute a suspicion.");
  state @3 :MemberState;
  domain @4 :Text $ident("DomainId") $doc("Its failure domain; empty where a published list says so.");
  httpAddress @5 :Text $doc("Where callers connect to it; empty where a published list says so.");
  cores @6 :Float64 $unit("cores") $doc("Processor time that it may use; 0 where it is not known.");
}

struct CatalogueRumour $doc("How new the published documents are that a VM holds.") {
  vm @0 :Text $ident("VmId");
  revision @1 :UInt64 $doc("Revision of the newest one that changed anything.");
}

struct WatchRumour $doc("Whether a VM reaches the store where documents are published.") {
  vm @0 :Text $ident("VmId");
  incarnation @1 :UInt64 $ident("Incarnation");
  sequence @2 :UInt32 $doc("Raised by the VM with each change.");
  lost @3 :Bool $doc("Whether the store does not answer it.");
}

struct OwnerRumour $doc("Which VM orders the engines of a group.") {
  group @0 :Text $ident("GroupId");
  vm @1 :Text $ident("VmId");
  incarnation @2 :UInt64 $ident("Incarnation");
  epoch @3 :UInt64 $doc("Raised with each new owner; the highest holds.");
  provisional @4 :Bool $doc("Made without seeing most VMs; yields to any other of its epoch.");
}

struct VersionRumour $doc("The highest inventory version and VM list that a VM holds.") {
  vm @0 :Text $ident("VmId");
  version @1 :UInt64 $doc("Version of the inventory.");
  listRevision @2 :UInt64 $doc("Revision of the published list of VMs.");
}

struct PoisonRumour $doc("A request that was running when an engine crashed.") {
  fingerprint @0 :UInt64 $ident("Fingerprint");
  crashes @1 :UInt32 $doc("Crashes at which it was the only suspect or present again.");
  remaining @2 :Float64 $unit("seconds") $doc("Time until the record expires.");
}

struct StoreRumour $doc("Use of the weight store by one VM.") {
  vm @0 :Text $ident("VmId");
  loading @1 :UInt32 $doc("Loads in flight.");
  waiting @2 :UInt32 $doc("Loads wanted and not yet started.");
  sequence @3 :UInt64 $doc("Raised with each change.");
}

struct SpreadRumour $doc("How many engines a hot adapter may use.") {
  adapter @0 :Text $ident("AdapterId");
  engines @1 :UInt32;
  sequence @2 :UInt64 $unit("milliseconds") $doc("Raised with each change.");
}

struct Rumour $doc("One piece of news.") {
  union {
    member @0 :MemberRumour;
    version @1 :VersionRumour;
    poison @2 :PoisonRumour;
    store @3 :StoreRumour;
    spread @4 :SpreadRumour;
    catalogue @5 :CatalogueRumour;
    owner @6 :OwnerRumour;
    watch @7 :WatchRumour;
  }
}

# ---- Membership datagrams ----

struct Ping $doc("Asks a VM whether it is there.") {
  target @0 :Text $ident("VmId");
  origin @1 :Text $ident("VmId") $doc("Who wants to know; differs from the sender in an indirect probe.");
  probe @2 :UInt64 $doc("Number of the probe at its origin.");
}

struct Ack $doc("Answers a ping, straight or by way of the VM that relayed it.") {
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
  sequence @2 :UInt64 $doc("Raised with each datagram; a repeat is refused.");
  rumours @3 :List(Rumour);
  union {
    ping @4 :Ping;
    ack @5 :Ack;
    pingRequest @6 :PingRequest;
  }
}

# ---- Frames on a TCP connection between two VMs ----

struct Hello $doc("First frame of each side: who speaks and a fresh number.") {
  vm @0 :Text $ident("VmId");
  incarnation @1 :UInt64 $ident("Incarnation");
  nonce @2 :Data;
}

struct Heartbeat $doc("Says that the answer is still being worked on.") {
  sequence @0 :UInt32;
}

struct ForwardCompletion $doc("A completion, passed to the owner of its engine.") {
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
  isolated @11 :Bool $doc("Run apart from every other request.");
  remaining @12 :Float64 $unit("seconds") $doc("Time left until the deadline.");
  hops @13 :UInt32 $doc("VMs that have passed it on.");
}

struct ForwardCall $doc("A call of a plain service, passed to its executor.") {
  requestId @0 :Text $ident("RequestId");
  application @1 :Text $ident("ApplicationId");
  service @2 :Text $ident("ServiceId");
  call @3 :Text $ident("CallId");
  contentType @4 :Text;
  body @5 :Data;
  key @6 :Text $doc("The idempotency key as the caller sent it.");
  keyTime @7 :Float64 $unit("seconds") $doc("When the key was made, as Unix time; 0 for a permit.");
  remaining @8 :Float64 $unit("seconds");
  hops @9 :UInt32;
}

struct Refusal $doc("A typed error in place of an answer.") {
  kind @0 :Text;
  message @1 :Text;
  ran @2 :Text;
  retryAfter @3 :Float64 $unit("seconds") $doc("0 when there is nothing to wait for.");
}

struct ResponseHead $doc("Status and headers of an answer.") {
  status @0 :UInt32;
  headers @1 :List(Header);
}

struct Chunk $doc("A part of an answer's body.") {
  payload @0 :Data;
}

struct ResponseEnd $doc("The answer is complete.") {
  complete @0 :Bool = true;
}

struct ClaimAsk $doc("An executor asks a holder to acknowledge its claim.") {
  key @0 :Text $ident("ClaimKey");
  executor @1 :Text $ident("VmId");
  incarnation @2 :UInt64 $ident("Incarnation");
  holder @3 :UInt64 $ident("Incarnation") $doc("Incarnation of the holder that is meant; 0 for any.");
  bodyDigest @4 :Data;
}

struct ClaimTell $doc("An executor tells a holder how a claim ended.") {
  key @0 :Text $ident("ClaimKey");
  executor @1 :Text $ident("VmId");
  incarnation @2 :UInt64 $ident("Incarnation");
  state @3 :ClaimState;
  status @4 :UInt32;
  contentType @5 :Text;
  answer @6 :Data;
}

struct SealAsk $doc("Asks a holder to see to it that an unclaimed key never runs.") {
  key @0 :Text $ident("ClaimKey");
  holder @1 :UInt64 $ident("Incarnation");
  bodyDigest @2 :Data;
}

struct ClaimReply $doc("What a holder knows of a key after it was asked.") {
  state @0 :ClaimState;
  acknowledged @1 :Bool = false;
  executor @2 :Text $ident("VmId");
  incarnation @3 :UInt64 $ident("Incarnation");
  status @4 :UInt32;
  contentType @5 :Text;
  answer @6 :Data;
  sameBody @7 :Bool = true;
}

struct TakeoverAsk $doc("An owner asks its deputy whether it has taken over an engine.") {
  engine @0 :Text $ident("EngineId");
  incarnation @1 :UInt64 $ident("Incarnation");
}

struct TakeoverReply $doc("The deputy's answer.") {
  takenOver @0 :Bool;
  validity @1 :Float64 $unit("seconds") $doc("How long the answer may be relied on.");
}

struct ConfigurationAsk $doc("Asks for one value that the peer holds.") {
  key @0 :Text;
  sha256 @1 :Text $doc("SHA-256, in hex, of the page that is wanted; empty for any.");
}

struct ConfigurationReply $doc("A value of the configuration.") {
  found @0 :Bool;
  content @1 :Data $doc("The value, compressed by zlib.");
}

struct DocumentsAsk $doc("Asks for the published documents after a revision.") {
  revision @0 :UInt64;
}

struct Document $doc("One published document as the store gave it.") {
  key @0 :Text;
  revision @1 :UInt64;
  content @2 :Data;
  deleted @3 :Bool;
  packed @4 :Bool $doc("Whether the content is compressed by zlib.");
  lapsed @5 :Bool $doc("Whether it was deleted beside an outage of the store, so that it may come back.");
}

struct DocumentsReply $doc("Published documents, oldest first.") {
  documents @0 :List(Document);
  confirmedAge @1 :Float64 = inf $unit("seconds") $doc("Time since the sender's documents were last known to be current; infinite if never.");
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

struct PromptPart $doc("A part of a prompt that other prompts may share.") {
  id @0 :Text;
  tokens @1 :UInt32;
}

struct PlaceAsk $doc("Asks the owner of a group for a place on one of its engines.") {
  requestId @0 :Text $ident("RequestId");
  group @1 :Text $ident("GroupId");
  model @2 :Text $ident("ModelId");
  adapter @3 :Text $ident("AdapterId") $doc("Empty for the base model.");
  promptTokens @4 :UInt32;
  outputTokens @5 :UInt32 $doc("Most tokens of the answer.");
  parts @6 :List(PromptPart);
  priority @7 :UInt32 $doc("0 is the most urgent.");
  target @8 :Float64 $unit("seconds") $doc("Time left until the first event would be late.");
  remaining @9 :Float64 $unit("seconds") $doc("Time left until the deadline.");
  avoided @10 :List(Text) $doc("Engines that have failed this request.");
  domain @11 :Text $ident("DomainId") $doc("Failure domain of the asking VM.");
  patience @12 :Float64 $unit("seconds") $doc("Time left until the caller leaves if it sees no event.");
  mayDecline @13 :Bool $doc("Whether another group can be asked instead.");
}

struct PlaceGrant $doc("The engine that holds a place, with the adapter loaded.") {
  upstream @0 :Text $ident("UpstreamId");
  address @1 :Text;
  version @2 :UInt32 $doc("Version of the adapter there; 0 where none was announced.");
}

enum PlaceOutcome $doc("How the use of a place ended.") {
  finished @0 $doc("The answer was whole.");
  refused @1 $doc("The engine did not run the request.");
  failed @2 $doc("The engine answered with a failure, or too late.");
  abandoned @3 $doc("The caller left.");
  lost @4 $doc("The engine could not be reached, or its connection broke.");
}

struct PlaceEnd $doc("Gives a place back.") {
  outcome @0 :PlaceOutcome;
  firstEvent @1 :Float64 $unit("seconds") $doc("Time from sending the request to its first event; 0 when none came.");
}

struct PlaceHold $doc("Tells a new owner of a place that a former owner gave.") {
  ask @0 :PlaceAsk;
  upstream @1 :Text $ident("UpstreamId");
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
  }
}
