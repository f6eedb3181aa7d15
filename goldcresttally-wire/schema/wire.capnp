@0xd1f0a94c5be27a63;

# Messages between nodes. Digests are 32 bytes. An IP number is two words that hold an IPv6
# address, an IPv4 address being mapped into it (RFC 4291, section 2.5.5.2); the packed encoding
# leaves out their zero bytes.

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
  release @3 :Text;
  # Empty when the upstream names none, or where rollouts are not enabled.
  trialMilli @4 :UInt16;
  # Thousandths of the service's calls that upstreams of a release under test are to get; 0 for
  # any other upstream.
}

struct Record {
  ipHigh @0 :UInt64;
  ipLow @1 :UInt64;
  # IP number of the control listener.
  controlPort @2 :UInt16;
  peerIpHigh @3 :UInt64;
  peerIpLow @4 :UInt64;
  # Zero when it is that of the control listener.
  peerPort @5 :UInt16;
  operatorIpHigh @6 :UInt64;
  operatorIpLow @7 :UInt64;
  # Zero when it is that of the control listener.
  operatorPort @8 :UInt16;
  domain @9 :Text;
  region @10 :Text;
  generation @11 :UInt64;
  incarnation @12 :UInt64;
  status @13 :Status;
  leaving @14 :Bool;
  upstreams @15 :List(Upstream);
  linkKbits @16 :UInt32;
  # Rate of the node's link in kilobits per second; 0 when it is unknown.
}

struct Datagram {
  fromIpHigh @0 :UInt64;
  fromIpLow @1 :UInt64;
  fromPort @2 :UInt16;
  generation @3 :UInt64;
  version @4 :UInt64;
  refused @5 :UInt64;
  updates @6 :List(Record);
  body :union {
    ping @7 :UInt64;
    pingRequest :group {
      sequence @8 :UInt64;
      targetIpHigh @9 :UInt64;
      targetIpLow @10 :UInt64;
      targetPort @11 :UInt16;
    }
    ack @12 :UInt64;
    gossip @13 :Void;
    notice :group {
      # The version in the header was the newest accepted one when this was sent.
      position @14 :UInt64;
      # Position in the change feed up to which no later version was accepted; 0 without a feed.
      direct @15 :Bool;
      # Whether the table told it to the sender itself.
    }
  }
}

struct Section {
  name @0 :Text;
  body @1 :Text;
  length @2 :UInt32;
  # Length of the body in bytes when it is packed.
}

struct VersionUpdate {
  version @0 :UInt64;
  base @1 :UInt64;
  manifest @2 :Data;
  changed @3 :List(Section);
  # Their bodies are empty when they are in `packed`.
  removed @4 :List(Text);
  packed @5 :Data;
  # The bodies of the changed sections one after the other, as an LZ4 block.
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

struct AccountTokens {
  account @0 :Text;
  milli @1 :UInt64;
  # Thousandths of a call.
}

enum TokenRequestKind {
  draw @0;
  # A node asks its pool for tokens.
  deposit @1;
  # A node deposits tokens with its pool, and asks which deposits are sought.
  pool @2;
  # A pool asks the pool of another failure domain for tokens.
  collect @3;
  # A pool asks a member of its failure domain for all that it does not need.
}

struct TokenGrant {
  account @0 :Text;
  milli @1 :UInt64;
  # Thousandths of a call; the receiver owns them now.
  retryAfterMs @2 :UInt32;
  # Time after which there will be more; 0 when all that was asked for was granted.
}

enum RolloutPhase {
  canary @0;
  open @1;
  shift @2;
  completed @3;
  rolledBack @4;
}

struct RolloutStage {
  service @0 :Text;
  release @1 :Text;
  # The release under test.
  order @2 :UInt64;
  # Revision of the operator's order.
  epoch @3 :UInt64;
  # Fencing token of the decider.
  phase @4 :RolloutPhase;
  rateMilli @5 :UInt64;
  # Thousandths of a call per second that this node may let through; the maximum for no limit.
  validMs @6 :UInt32;
  # Time for which the stage holds after it was received; the maximum for one that does not expire.
  shareMilli @7 :UInt16;
  # Thousandths of the service's calls that the release under test is to get.
}

struct RolloutClass {
  class @0 :UInt32;
  # Key of the class of call.
  answered @1 :UInt64;
  failed @2 :UInt64;
  totalMs @3 :UInt64;
  # Sum of the times from sending a call to its answer.
}

struct RolloutReport {
  release @0 :Text;
  # Release of the upstream beside the node; empty without one.
  epoch @1 :UInt64;
  # Highest epoch that the node has seen.
  received @2 :UInt64;
  inFlight @3 :UInt32;
  classes @4 :List(RolloutClass);
  held @5 :RolloutStage;
  # The stage that the node holds; null without one. Its time is what was given, not what is left.
  informed @6 :Bool;
  # Whether the node knows whether there is an order.
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

  exchangeTokens @7 (deposits :List(AccountTokens), wants :List(AccountTokens), kind :TokenRequestKind) -> (grants :List(TokenGrant), sought :List(Text));
  # Deposits are tokens that the sender has given up; sought are accounts for which deposits are
  # needed.

  rollout @8 (stage :RolloutStage) -> (report :RolloutReport);
  # A stage without a release only asks for the report.
}
