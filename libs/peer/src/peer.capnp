# Messages between nodes. Durations are in microseconds.
@0xda2ca69ae7799835;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cartsail::wire");

struct WorkItem {
  id @0 :UInt64;
  node @1 :Text;
  tier @2 :UInt8;
  preemptible @3 :Bool;
  waitedUs @4 :Int64;
  maxWaitUs @5 :Int64;
  ttftTargetUs @6 :Int64;
}

struct ServiceReport {
  started @0 :Bool;
  firstTokenUs @1 :Int64;
  serviceTimeUs @2 :Int64;
  tokens @3 :Int64;
  tokenIntervalUs @4 :Int64;
  intervalTargetUs @5 :Int64;
}

struct QueueDigest {
  inFlight @0 :UInt16;
  window @1 :UInt16;
  releaseRate @2 :Float32;
  # Six tiers each: waiting (two bytes, little-endian), then running and headroom (one byte each).
  # Larger values are sent as the largest that fits.
  tiers @3 :Data;
}

struct EngineDigest {
  engine @0 :Text;
  digest @1 :QueueDigest;
  leaving @2 :Bool;
}

struct Heartbeat {
  node @0 :Text;
  zone @1 :Text;
  address @2 :Text;
  draining @3 :Bool;
  configRevision @4 :Int64;
  engines @5 :List(EngineDigest);
  machineVersion @6 :Int64;
  # Time until the next one; silence is judged by it.
  intervalMs @7 :UInt32;
}

struct BranchDocument {
  tenant @0 :Text;
  text @1 :Text;
  revision @2 :Int64;
}

struct ConfigDelta {
  since @0 :Int64;
  revision @1 :Int64;
  changeId @2 :Text;
  branches @3 :List(BranchDocument);
}

struct Claim {
  key @0 :Text;
  attempt @1 :Text;
  engine @2 :Text;
  timeoutUs @3 :Int64;
}

enum ClaimVerdict {
  won @0;
  lost @1;
  undecided @2;
}

struct ClaimResult {
  verdict @0 :ClaimVerdict;
  attempt @1 :Text;
  engine @2 :Text;
}

interface Peer {
  # Asks the owner of an engine for a slot; answered when granted or rejected.
  acquire @0 (engine :Text, item :WorkItem)
      -> (granted :Bool, reason :UInt8, retryAfterUs :Int64, digest :QueueDigest);
  # Withdraws a waiting request.
  cancel @1 (engine :Text, id :UInt64) -> ();
  # Gives a slot back.
  release @2 (engine :Text, id :UInt64, report :ServiceReport) -> (digest :QueueDigest);
  # Tells that the sender lives and what it owns.
  heartbeat @3 (heartbeat :Heartbeat) -> ();
  # Configuration branches changed after a revision.
  fetchConfig @4 (since :Int64) -> (delta :ConfigDelta);
  # Creates a claim through the zone's batching node.
  claim @5 (claim :Claim) -> (result :ClaimResult);
  # The owner takes a slot back from a running request.
  preempt @6 (engine :Text, id :UInt64) -> ();
  # All running grants of one engine at the sender.
  announce @7 (engine :Text, node :Text, running :List(WorkItem)) -> ();
  # The machine list as the sender knows it, in the platform's JSON form.
  fetchMachines @8 () -> (version :Int64, machines :Text);
}
