# What relay nodes tell each other: in datagrams which nodes are live, loads, placements, new
# documents and what the store told its readers; catalogs on request.
@0xc5a1be2e9b1f7d43;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cartsail::wire");

# Back ends are named by a hash of their ids.
struct BackendLoad {
  backend @0 :UInt32;
  readingMs @1 :UInt32;
  requests @2 :UInt16;
  lightRequests @3 :UInt16;
  # Least mean pause between events of a stream, in hundredths of a millisecond; 0: unknown.
  leastPause @4 :UInt16;
  # Attempts of the last seconds and failures among them, in tenths.
  attempts @5 :UInt16;
  failures @6 :UInt16;
}

struct PrefixPlacement {
  part @0 :UInt64;
  backend @1 :UInt32;
}

struct ServiceWork {
  service @0 :Text;
  lightMsPerSecond @1 :Float32;
  heavyMsPerSecond @2 :Float32;
}

# A node's load, told to the coordinators of its requests.
struct NodeDigest {
  node @0 :Text;
  # Time to the next digest.
  intervalMs @1 :UInt32;
  loads @2 :List(BackendLoad);
  prefixes @3 :List(PrefixPlacement);
  leaving @4 :List(UInt32);
  work @5 :List(ServiceWork);
  # This node's questions whose requests have not ended. `loads` is without what that coordinator
  # placed.
  liveQuestions @6 :List(UInt32);
}

# A node as the sender believes it to be.
struct Member {
  # An IPv4 address as a number.
  host @0 :UInt32;
  node @1 :Text;
  zone @2 :Text;
  # Thousandths of a core that the node may use.
  capacity @3 :UInt16;
  stopping @4 :Bool;
  uptimeMs @5 :UInt32;
  incarnation @6 :UInt32;
  # As PeerStatus.
  status @7 :UInt8;
  # It passes conversations with back ends on for other nodes. Earlier builds do not.
  bridges @8 :Bool;
  # It lends repeats to other nodes. Earlier builds do not.
  lends @9 :Bool;
  # It keeps begun streams for other nodes, and goes on with a stream at its version only. Earlier
  # builds do not.
  keepsStreams @10 :Bool;
}

# Which nodes are live, and how far the sender knows the store.
struct Gossip {
  # As GossipKind.
  kind @0 :UInt8;
  sequence @1 :UInt32;
  subject @2 :UInt32;
  sender @3 :Member;
  # Revision of the store up to which the sender knows all changes.
  catalogRevision @4 :Int64;
  documentVersion @5 :Int64;
  # Milliseconds since the store last confirmed the document to the sender; -1: never.
  confirmedAgeMs @6 :Int32 = -1;
  members @7 :List(Member);
  known @8 :List(UInt16);
  # What the sender's clock shows, in milliseconds since the start of 1970; 0: not told.
  wallMs @9 :Int64;
  # Milliseconds since the store last confirmed to the sender that catalogRevision includes all
  # changes of the back ends; -1: never, or not told.
  listAgeMs @10 :Int32 = -1;
}

struct PromptPart {
  id @0 :UInt64;
  tokens @1 :UInt32;
}

# What an answer of a back end said of the requests a second that it takes from all nodes together.
struct RateWord {
  backend @0 :UInt32;
  # It named a rate.
  named @1 :Bool;
  perSecond @2 :Float64;
  # Milliseconds since the answer was read, and since the request was sent that it answers.
  readAgeMs @3 :UInt32;
  askedAgeMs @4 :UInt32;
}

# Where shall this request go?
struct PlacementQuestion {
  id @0 :UInt32;
  service @1 :Text;
  generation @2 :Bool;
  goalMs @3 :UInt32;
  promptTokens @4 :UInt32;
  outputTokens @5 :UInt32;
  bytesPerToken @6 :UInt32;
  parts @7 :List(PromptPart);
  tried @8 :List(UInt32);
  # Back ends to which the node has an idle connection.
  connected @9 :List(UInt32);
  # Longest pause between events within the goal; 0: none is set.
  longestPauseMs @10 :UInt32;
  # Regions in which the request may be served, where it is not in all.
  restricted @11 :Bool;
  residency @12 :List(Text);
  # The newest that the node knows on back ends of the service.
  rateWords @13 :List(RateWord);
  # The same of the requests a second that brittle ones bear to turn away.
  brittleWords @14 :List(RateWord);
  # The only version of back ends that the request may go to; empty: any. Earlier builds do not hear
  # it.
  version @15 :Text;
}

struct PlacementAnswer {
  id @0 :UInt32;
  placed @1 :Bool;
  backend @2 :UInt32;
  fetchFrom @3 :UInt32;
  expectedLoss @4 :Float32;
  readingMs @5 :Float32;
  firstOutputMs @6 :Float32;
  heldTokens @7 :UInt32;
  candidates @8 :UInt16;
  loadRequests @9 :UInt16;
  # The back end is cold or limited: the request is sent soon or not at all.
  metered @10 :Bool;
  # Where not placed: only such back ends are left, and the time after which to try again.
  meteredOnly @11 :Bool;
  meteredWaitMs @12 :UInt32;
  # The rate words of the question were heard; earlier builds do not hear them.
  heardRateWords @13 :Bool;
}

# What became of a request that was placed.
struct RequestProgress {
  id @0 :UInt32;
  ended @1 :Bool;
  # Where ended: known outcome, and the mean pause between events in hundredths of a millisecond
  # and the longest one in milliseconds; 0: unknown.
  outcomeKnown @2 :Bool;
  outcome @3 :UInt8;
  meanPause @4 :UInt16;
  longestPauseMs @5 :UInt16;
}

# A version of the routing document is in force at the sender.
struct DocumentNotice {
  version @0 :Int64;
  ageMs @1 :UInt32;
  # What the document adds to version `base`, as in Catalog; empty: to be fetched.
  base @2 :Int64;
  patch @3 :Data;
  isAnswer @4 :Bool;
}

# Entries of a catalog share what they can, since thousands of them travel at a time.
struct Backend {
  id @0 :Text;
  # Where its service and its zone stand in the catalog's names.
  service @1 :UInt16;
  zone @2 :UInt16;
  # Its address: an IPv4 one as numbers, any other as a text.
  host @3 :UInt32;
  port @4 :UInt16;
  address @5 :Text;
  slots @6 :UInt16;
  leaving @7 :Bool;
  # Revisions of the store before the catalog's.
  createdBefore @8 :UInt32;
  # Its entry is missing: milliseconds until it counts as gone; -1: not missing.
  missingMs @9 :Int32 = -1;
  reclaimable @10 :Bool;
  # When its process started, in milliseconds since the start of 1970; 0: not told.
  startedMs @11 :Int64;
  # Milliseconds for which it is still slow after its start; 0: it is not.
  coldMs @12 :UInt32;
  # One more than where its version stands in the catalog's names; 0: not told. Earlier builds tell
  # none.
  version @13 :UInt16;
}

# A back end ended while it had a request, which is named by its fingerprint.
struct Strike {
  request @0 :UInt64;
  backend @1 :UInt32;
  # Milliseconds since the connection to it broke; earlier builds do not tell it.
  ageMs @2 :UInt32;
}

# A request that is kept from back ends, or no longer.
struct QuarantineEntry {
  request @0 :UInt64;
  lifted @1 :Bool;
  # How much longer it is kept from back ends.
  leftMs @2 :UInt32;
  # Milliseconds since the first back end ended under it.
  firstStrikeAgeMs @3 :UInt32;
  # Those that ended under it.
  backends @4 :List(UInt32);
  # Not one request, but all that have each of these prompt parts. Earlier builds know no parts:
  # `request` is the fingerprint of the parts, which no request has.
  parts @5 :List(UInt64);
  # Where lifted: something else explains the ends, which does not make the request harmless.
  explained @6 :Bool;
}

# A back end ended while requests with these prompt parts were in flight there.
struct PartStrikes {
  service @0 :UInt64;
  backend @1 :UInt32;
  # Milliseconds since the connections to it broke.
  ageMs @2 :UInt32;
  parts @3 :List(UInt64);
}

# Whoever completes a request with one of these prompt parts is asked to tell.
struct PartInquiry {
  service @0 :UInt64;
  # Milliseconds since the first back end ended with one of them in flight.
  firstStrikeAgeMs @1 :UInt32;
  parts @2 :List(UInt64);
  # IPv4 addresses of the nodes to which the receiver passes it on.
  targets @3 :List(UInt32);
}

# A back end has completed requests with these prompt parts.
struct PartCompletions {
  service @0 :UInt64;
  parts @1 :List(UInt64);
  # For each part, milliseconds since its last completion.
  agesMs @2 :List(UInt32);
}

# On its way to all nodes.
struct QuarantineNotice {
  entry @0 :QuarantineEntry;
  # IPv4 addresses of the nodes to which the receiver passes it on.
  targets @1 :List(UInt32);
}

# All that a node knows from the store.
struct Catalog {
  revision @0 :Int64;
  # What the document adds to version `documentBase`, 0: to nothing (a zstd frame whose prefix is
  # that version); empty when the asker has this version.
  document @1 :Data;
  backends @2 :List(Backend);
  # Milliseconds since the first node on its way put the document in force.
  documentAgeMs @3 :UInt32;
  documentBase @4 :Int64;
  # `backends` are those that changed after this revision, and `gone` the ids of those that went
  # after it; -1: `backends` are all there are.
  since @5 :Int64 = -1;
  gone @6 :List(Text);
  # Of services and zones.
  names @7 :List(Text);
  # All there are, also beside changes.
  drainedZones @8 :List(Text);
  # The newest ones, also beside changes.
  quarantined @9 :List(QuarantineEntry);
  # Version of the document in force at the sender, also when `document` is empty. 0: not told, as
  # by earlier builds and in updates, which have it themselves.
  documentVersion @10 :Int64;
  # Store revision as of which that version is the newest; 0: not told, as by earlier builds.
  documentRevision @11 :Int64;
}

# What the store told a reader, on its way to all nodes.
struct StoreUpdate {
  # The changes of back ends; without a document.
  changes @0 :Catalog;
  documentVersion @1 :Int64;
  # Milliseconds since the store answered.
  confirmedAgeMs @2 :UInt32;
  # IPv4 addresses of the nodes to which the receiver passes it on.
  targets @3 :List(UInt32);
  # Milliseconds since the list of back ends was the store's for sure. Earlier builds do not tell.
  listAgeMs @4 :UInt32 = 0xffffffff;
  # Revision of the list of back ends whose age the two fields tell; 0: that of `changes`, as earlier
  # builds mean it.
  listRevision @5 :Int64;
}

struct TenantCount {
  tenant @0 :Text;
  requests @1 :Int64;
}

# What a node has counted in one window, for some tenants.
struct UsageShare {
  window @0 :Int64;
  closed @1 :Bool;
  # Of all tenants.
  requests @2 :Int64;
  counts @3 :List(TenantCount);
}

struct UsageShares {
  process @0 :UInt32;
  shares @1 :List(UsageShare);
}

# Opens a bridge: what follows on the connection goes to this back end and comes from there.
struct BridgeOrder {
  backend @0 :UInt32;
  # The connection to it is new: one that was open before proves nothing.
  fresh @1 :Bool;
  # How long the connecting may take.
  patienceMs @2 :UInt32;
}

# Goes before each request that is sent over a bridge.
struct BridgedRequest {
  id @0 :Text;
  # Of the request, which follows.
  bytes @1 :UInt64;
  # How long its caller still waits.
  leftMs @2 :UInt32;
}

# The sender knows all that `process` counted in these windows.
struct UsageReceipt {
  process @0 :UInt32;
  windows @1 :List(Int64);
}

# May the sender make one repeat of the service out of the receiver's budget?
struct RepeatQuestion {
  id @0 :UInt32;
  service @1 :Text;
}

struct RepeatAnswer {
  id @0 :UInt32;
  lent @1 :Bool;
}

struct StreamRecord {
  key @0 :UInt64;
  version @1 :Text;
  # Id of the engine whose event came first.
  engine @2 :Text;
  # How much longer it may be taken up, and since when it has begun.
  leftMs @3 :UInt32;
  ageMs @4 :UInt32;
  # When that engine's process started, as in Backend.
  startedMs @5 :Int64;
  confirmed @6 :Bool;
}

# On begun streams of a service, and the versions at which they may begin.
struct StreamQuestion {
  id @0 :UInt32;
  # As StreamQuestionKind.
  kind @1 :UInt8;
  service @2 :Text;
  records @3 :List(StreamRecord);
  stream @4 :UInt64;
  version @5 :Text;
}

struct StreamAnswer {
  id @0 :UInt32;
  yes @1 :Bool;
  record @2 :StreamRecord;
  # As VersionSource.
  source @3 :UInt8;
  # Versions in the ledger; 0: not known.
  ledgerSize @4 :UInt32;
  # How much longer a permission holds.
  holdsMs @5 :UInt32;
}

struct Datagram {
  union {
    digest @0 :NodeDigest;
    question @1 :PlacementQuestion;
    answer @2 :PlacementAnswer;
    progress @3 :List(RequestProgress);
    notice @4 :DocumentNotice;
    gossip @5 :Gossip;
    storeUpdate @6 :StoreUpdate;
    usage @7 :UsageShares;
    usageReceipt @8 :UsageReceipt;
    strikes @9 :List(Strike);
    quarantine @10 :QuarantineNotice;
    repeatQuestion @11 :RepeatQuestion;
    repeatAnswer @12 :RepeatAnswer;
    streamQuestion @13 :StreamQuestion;
    streamAnswer @14 :StreamAnswer;
    partStrikes @15 :PartStrikes;
    partInquiry @16 :PartInquiry;
    partCompletions @17 :PartCompletions;
  }
}
