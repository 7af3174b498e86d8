# What relay nodes tell each other in datagrams, several times a second.
@0xc5a1be2e9b1f7d43;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cartsail::wire");

struct BackendLoad {
  backend @0 :Text;
  readingMs @1 :Float32;
  requests @2 :UInt32;
  evenStreams @3 :UInt32;
  leastPauseMs @4 :Float32;
}

struct PrefixPlacement {
  part @0 :UInt64;
  backend @1 :Text;
}

struct ServiceWork {
  service @0 :Text;
  urgentMsPerSecond @1 :Float32;
  patientMsPerSecond @2 :Float32;
}

struct NodeDigest {
  node @0 :Text;
  documentVersion @1 :Int64;
  # Milliseconds since the store last confirmed the document to this node; -1: never.
  confirmedAgeMs @2 :Int32;
  loads @3 :List(BackendLoad);
  prefixes @4 :List(PrefixPlacement);
  leaving @5 :List(Text);
  # Hosts of other nodes that were heard lately.
  hosts @6 :List(Text);
  stopping @7 :Bool;
  work @8 :List(ServiceWork);
}
