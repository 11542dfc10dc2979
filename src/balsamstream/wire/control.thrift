// Control messages between balancers and agents. Keys are unsigned 64-bit numbers
// in the program and travel as the i64 of the same bits.
// Regenerate: thrift --gen py:slots,package_prefix=balsamstream.wire.generated. \
//   -out src/balsamstream/wire/generated src/balsamstream/wire/control.thrift

namespace py control

struct Address { 1: required string ip, 2: required i32 port }
struct Ref { 1: required string name, 2: required i64 incarnation }
struct Version { 1: required i64 view, 2: required i64 data_centres }
struct Claim { 1: required i64 request, 2: required Ref claimant }
struct ConfigObject {
  1: required string kind,
  2: required string name,
  3: required i64 version,
  4: optional string spec_json,
}

struct HeldFlowsRequest {
  1: required string service_name,
  2: required Version version,
  3: required Ref owner,
  4: optional i64 after,
}
struct HeldFlowsReply {
  1: required string service_name,
  2: required Version version,
  3: required Ref holder,
  4: optional i64 after,
  5: required bool more,
  6: required list<i64> flows,
}
struct HolderRequest { 1: required string service_name, 2: required i64 flow }
struct HolderReply {
  1: required string service_name,
  2: required i64 flow,
  3: required Ref member,
  4: optional string holder,
}
struct LoadReport {
  1: required string service_name,
  2: required string host,
  3: required i32 flows,
  4: required i32 flow_limit,
  5: required i32 in_flight,
  6: required i32 in_flight_limit,
}
struct Flow { 1: required i64 flow, 2: required Address caller, 3: required Address via }
struct TakeoverRequest {
  1: required string service_name,
  2: required Ref successor,
  3: optional i64 after,
}
struct TakeoverPart {
  1: required string service_name,
  2: required Ref predecessor,
  3: optional i64 after,
  4: required i64 left,
  5: required double share,
  6: required list<Flow> flows,
}
struct Ping { 1: required i64 number }
struct Pong { 1: required i64 number, 2: required Ref ref }
struct ClaimRequest {
  1: required string service_name,
  2: required i64 epoch,
  3: required i64 request,
  4: required Ref claimant,
}
struct ClaimReply {
  1: required string service_name,
  2: required i64 epoch,
  3: required i64 request,
  4: required Ref claimant,
  5: required Ref voter,
  6: required string outcome,
  7: required Ref holder,
}
struct SealRequest {
  1: required string service_name,
  2: required i64 epoch,
  3: required Ref asker,
  4: required i32 page,
}
struct SealReply {
  1: required string service_name,
  2: required i64 epoch,
  3: required Ref voter,
  4: required i64 active_epoch,
  5: required i32 page,
  6: required i32 pages,
  7: required list<Claim> claims,
}
struct ChangesRequest { 1: required i64 have, 2: required string service_name }
struct Changes {
  1: required i64 since,
  2: required i64 up_to,
  3: required bool full,
  4: required bool more,
  5: required list<ConfigObject> objects,
  6: required string service_name,
}
