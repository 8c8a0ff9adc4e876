@0xb4d1f0a3c2e59718;
# Protocol between the processes of the system. Every message carries its sender's id and
# configuration version, so that a receiver with an older version can pull the missing ones.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("buckthornspar::peer::schema");

struct Sender {
  id @0 :Text;              # instance id
  role @1 :Text;            # entry, scheduler, config
  configVersion @2 :UInt64; # version in force in the sender
}

enum ReplyStatus {
  ok @0;
  notOwner @1;      # the shard belongs to another scheduler; see ownerHint
  refused @2;       # refused without effect; errorType and errorDetail are set
  notFound @3;
  outcomeUnknown @4; # the call may take effect or have taken effect
}

struct Reply {
  status @0 :ReplyStatus;
  body @1 :Text;            # JSON response body, empty when refused
  errorType @2 :Text;
  errorDetail @3 :Text;
  errorField @4 :Text;
  ownerHint @5 :Text;       # instance id of the owner when known
  configVersion @6 :UInt64;
}

struct ShardLoad {
  shard @0 :Text;
  epoch @1 :UInt64;
  freeCpuMilli @2 :UInt64;
  freeMemoryMb @3 :UInt64;
  freeAccelerators @4 :UInt64;
  pendingTasks @5 :UInt64;
}

struct Heartbeat {
  sender @0 :Sender;
  shards @1 :List(ShardLoad);   # shards that the sender owns; empty for other roles
  draining @2 :Bool;
}

struct ConfigRecord {
  version @0 :UInt64;
  body @1 :Text;                # JSON document of the configuration record
}

struct SlotDemand {
  service @0 :Text;
  region @1 :Text;
  wanted @2 :Float64;           # slots of the service that the sender could use now
}

struct SlotCount {
  runner @0 :Text;
  slots @1 :UInt32;
}

struct SlotGrant {
  service @0 :Text;
  counts @1 :List(SlotCount);   # slots on the sender's runners that the receiver may use
}

struct Amount {
  cpuMilli @0 :Int64;
  memoryMb @1 :Int64;
  accelerators @2 :Int64;
}

enum QuotaMessageKind {
  statement @0;                 # from a quota holder to the home shard
  grant @1;                     # from the home shard to a quota holder
  query @2;                     # request of the home shard for a statement
}

struct QuotaMessage {
  # Message about the quota of one team between the owners of two shards. Amounts are totals.
  kind @0 :QuotaMessageKind;
  team @1 :Text;
  fromShard @2 :Text;
  fromEpoch @3 :UInt64;
  toShard @4 :Text;
  toEpoch @5 :UInt64;           # 0 when unknown
  sequence @6 :UInt64;
  answers @7 :UInt64;           # highest sequence received from the other side
  amount @8 :Amount;            # statement: held; grant: limit
  wanted @9 :Amount;            # statement only
  least @10 :Amount;            # statement only
  quota @11 :Amount;            # grant only: the quota on which the grant is based
  recall @12 :Bool;             # grant only: the limit must not rise
  reply @13 :Bool;              # the sender repeats the message until it receives an answer
}

interface Peer {
  # One interface for all roles: a process refuses the calls that its role does not serve with
  # status refused and errorType "wrong_role".
  heartbeat @0 (beat :Heartbeat) -> (reply :Heartbeat);

  submitJob @1 (sender :Sender, shard :Text, job :Text, deadlineMs :UInt32) -> (reply :Reply);
  jobStatus @2 (sender :Sender, shard :Text, id :Text) -> (reply :Reply);
  explainJob @3 (sender :Sender, shard :Text, id :Text) -> (reply :Reply);
  cancelJob @4 (sender :Sender, shard :Text, id :Text) -> (reply :Reply);

  configSince @5 (sender :Sender, version :UInt64) -> (records :List(ConfigRecord), inForce :UInt64);
  announceConfig @6 (sender :Sender, records :List(ConfigRecord)) -> (inForce :UInt64);

  slotDemand @7 (sender :Sender, demand :SlotDemand) -> ();
  slotGrant @8 (sender :Sender, grant :SlotGrant) -> ();

  quotaMessages @9 (sender :Sender, messages :List(QuotaMessage)) -> ();
}
