@0xd1f0a94c5be27a63;

# Messages between nodes. Addresses are text, "IP:port"; digests are 32 bytes.

enum Status {
  alive @0;
  suspect @1;
  dead @2;
  left @3;
}

enum UpstreamState {
  starting @0;
  ready @1;
  draining @2;
}

struct Upstream {
  service @0 :Text;
  slots @1 :UInt32;
  state @2 :UpstreamState;
}

struct Record {
  id @0 :Text;
  peer @1 :Text;
  operator @2 :Text;
  domain @3 :Text;
  region @4 :Text;
  generation @5 :UInt64;
  incarnation @6 :UInt64;
  status @7 :Status;
  leaving @8 :Bool;
  upstreams @9 :List(Upstream);
}

struct Datagram {
  from @0 :Text;
  generation @1 :UInt64;
  version @2 :UInt64;
  refused @3 :UInt64;
  updates @4 :List(Record);
  body :union {
    ping @5 :UInt64;
    pingRequest :group {
      sequence @6 :UInt64;
      target @7 :Text;
    }
    ack @8 :UInt64;
    gossip @9 :Void;
  }
}

struct Section {
  name @0 :Text;
  body @1 :Text;
}

struct VersionUpdate {
  version @0 :UInt64;
  base @1 :UInt64;
  manifest @2 :Data;
  changed @3 :List(Section);
  removed @4 :List(Text);
}

struct Claim {
  key @0 :Text;
  # The row that holds the claim.
  expected @1 :UInt64;
  # Revision that the row must have; 0 when it must not exist.
  value @2 :Text;
}

struct ClaimResult {
  union {
    written @0 :UInt64;
    # Revision that the write got.
    conflict @1 :Void;
    unavailable @2 :Text;
    # Surely not written.
    unknown @3 :Text;
    # May have been written.
  }
}

interface Control {
  join @0 (record :Record) -> (floor :UInt64, version :UInt64, records :List(Record), busy :Bool, knowsFloor :Bool);
  # Floor: the newest version ever told from the joining node's address. A node that does not
  # know its own floor yet knows nobody's.

  compare @1 (hashes :List(UInt64)) -> (records :List(Record));
  # Returns the records of the buckets whose hash differs.

  offer @2 (records :List(Record)) -> ();

  push @3 (from :Text, update :VersionUpdate) -> ();

  fetch @4 (known :UInt64) -> (update :VersionUpdate);

  claim @5 (claims :List(Claim)) -> (results :List(ClaimResult));

  ping @6 () -> ();
}
