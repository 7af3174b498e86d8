# What relay nodes tell each other: digests in datagrams, catalogs on request.
@0xc5a1be2e9b1f7d43;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cartsail::wire");

# Back ends are named by a hash of their ids.
struct BackendLoad {
  backend @0 :UInt32;
  readingMs @1 :UInt32;
  requests @2 :UInt16;
  evenStreams @3 :UInt16;
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
  urgentMsPerSecond @1 :Float32;
  patientMsPerSecond @2 :Float32;
}

struct NodeDigest {
  node @0 :Text;
  zone @1 :Text;
  # Revision of the store up to which the node knows all changes.
  catalogRevision @2 :Int64;
  documentVersion @3 :Int64;
  # Milliseconds since the store last confirmed the document to this node; -1: never.
  confirmedAgeMs @4 :Int32;
  # Time to the next digest.
  intervalMs @5 :UInt32;
  loads @6 :List(BackendLoad);
  prefixes @7 :List(PrefixPlacement);
  leaving @8 :List(UInt32);
  work @9 :List(ServiceWork);
  # Some hosts of other nodes that were heard lately.
  hosts @10 :List(Text);
  stopping @11 :Bool;
}

struct Backend {
  id @0 :Text;
  service @1 :Text;
  address @2 :Text;
  zone @3 :Text;
  slots @4 :Int32;
  leaving @5 :Bool;
  createdRevision @6 :Int64;
}

# All that a node knows from the store.
struct Catalog {
  revision @0 :Int64;
  # As the store has it; empty when the asker has this version.
  document @1 :Text;
  backends @2 :List(Backend);
}
