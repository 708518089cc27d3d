#include "marigoldstep/fleet_state.h"

#include "marigoldstep/generated/state_messages.h"

#include <algorithm>

namespace marigoldstep {

namespace {

constexpr std::size_t initial_buffer_bytes = 1024;
// A snapshot has four levels of nested tables. The bounds protect against crafted
// input.
constexpr std::size_t max_nesting = 16;
constexpr std::size_t max_snapshot_tables = 4'000'000;
constexpr unix_seconds load_window_s = 60;
constexpr std::uint32_t ms_per_second = 1000;
constexpr const char* command_identifier = "MSL1";

config_properties from_wire(const wire::ConfigFactsT* properties) {
  if (properties == nullptr) {
    return {.problem = "the text was not checked"};
  }
  return {properties->problem, properties->claim_retention_s,
          properties->loads_per_minute};
}

std::unique_ptr<wire::ConfigFactsT> to_wire(const config_properties& properties) {
  auto out = std::make_unique<wire::ConfigFactsT>();
  out->problem = properties.problem;
  out->claim_retention_s = properties.claim_retention_s;
  out->loads_per_minute = properties.loads_per_minute;
  return out;
}

std::unique_ptr<wire::ConfigTextT> to_wire(const std::string& change_id,
                                           const std::string& text,
                                           const config_properties& properties) {
  auto out = std::make_unique<wire::ConfigTextT>();
  out->change_id = change_id;
  out->text = text;
  out->facts = to_wire(properties);
  return out;
}

config_text from_wire(const wire::ConfigTextT* text) {
  if (text == nullptr) {
    return {};
  }
  return {text->change_id, text->text, from_wire(text->facts.get())};
}

// Packs directly into the buffer: copying all claims into objects first would double
// the memory that a snapshot takes.
flatbuffers::Offset<wire::ClaimEntry> pack_claim(flatbuffers::FlatBufferBuilder& builder,
                                                 const claim_key& key,
                                                 const claim_record& record) {
  const auto workspace = builder.CreateSharedString(key.workspace);
  const auto service = builder.CreateSharedString(key.service);
  const auto text = builder.CreateString(key.key);
  const auto holder = builder.CreateSharedString(record.holder.node_id);
  flatbuffers::Offset<wire::StoredAnswer> answer;
  if (record.response) {
    answer = wire::StoredAnswer::Pack(builder, record.response.get());
  }
  wire::ClaimEntryBuilder entry(builder);
  entry.add_workspace(workspace);
  entry.add_service(service);
  entry.add_key(text);
  entry.add_phase(static_cast<wire::ClaimPhase>(record.phase));
  entry.add_body_hash(record.body_hash);
  entry.add_attempt_hi(record.holder.attempt.hi);
  entry.add_attempt_lo(record.holder.attempt.lo);
  entry.add_holder(holder);
  entry.add_holder_incarnation(record.holder.incarnation);
  entry.add_answer(answer);
  return entry.Finish();
}

// Returns false when the key or the phase of the entry is malformed.
bool restore(claim_table& table, wire::ClaimEntryT& entry) {
  const auto time = parse_idempotency_key(entry.key);
  if (!time || entry.phase > wire::ClaimPhase::MAX) {
    return false;
  }
  claim_record record;
  record.phase = static_cast<claim_phase>(entry.phase);
  record.body_hash = entry.body_hash;
  record.holder = {{entry.attempt_hi, entry.attempt_lo},
                   std::move(entry.holder),
                   entry.holder_incarnation};
  record.response = std::move(entry.answer);
  restore_claim(
      table,
      {*time, std::move(entry.workspace), std::move(entry.service), std::move(entry.key)},
      std::move(record));
  return true;
}

// Whether an order causes the engine to read from the weight store.
bool reads_weights(wire::OrderKind kind) {
  return kind != wire::OrderKind::set_role;
}

wire::OrderReplyT apply_order(fleet_state& state, const wire::OrderRequestT& request) {
  wire::OrderReplyT reply;
  auto& times = state.load_times;
  while (!times.empty() && times.front() + load_window_s <= state.time) {
    times.pop_front();
  }
  const auto limit = state.accepted_properties.loads_per_minute;
  if (reads_weights(request.kind) && limit != 0) {
    if (times.size() >= limit) {
      const auto free_at = times[times.size() - limit] + load_window_s;
      reply.retry_after_ms =
          static_cast<std::uint32_t>(free_at - state.time) * ms_per_second;
      return reply;
    }
    times.push_back(state.time);
  }
  reply.fencing = ++state.fencing;
  return reply;
}

std::unique_ptr<wire::LoggedCommandT> decode_command(byte_view command) {
  flatbuffers::Verifier verifier(command.data(), command.size(), max_nesting);
  if (command.empty() ||
      !verifier.VerifySizePrefixedBuffer<wire::LoggedCommand>(command_identifier)) {
    return nullptr;
  }
  const auto* root =
      flatbuffers::GetSizePrefixedRoot<wire::LoggedCommand>(command.data());
  return std::unique_ptr<wire::LoggedCommandT>(root->UnPack());
}

wire::StoreRoutingReplyT apply_routing(fleet_state& state,
                                       const wire::StoreRoutingT& request) {
  if (request.version > state.routing_version) {
    state.routing_version = request.version;
    state.routing_packed_text = request.packed_text;
  }
  wire::StoreRoutingReplyT reply;
  reply.version = state.routing_version;
  return reply;
}

void apply_version(fleet_state& state, const wire::StoreVersionT& request) {
  if (!request.retired) {
    state.server_versions[request.service].insert(request.version);
    return;
  }
  const auto it = state.server_versions.find(request.service);
  if (it != state.server_versions.end()) {
    it->second.erase(request.version);
    if (it->second.empty()) {
      state.server_versions.erase(it);
    }
  }
}

wire::StoreEvacuationReplyT apply_evacuation(fleet_state& state,
                                             const wire::StoreEvacuationT& request) {
  if (request.evacuated != state.evacuated_zones.contains(request.zone)) {
    ++state.evacuation_number;
    if (request.evacuated) {
      state.evacuated_zones[request.zone] = state.time;
    } else {
      state.evacuated_zones.erase(request.zone);
    }
  }
  wire::StoreEvacuationReplyT reply;
  reply.number = state.evacuation_number;
  return reply;
}

void apply_departures(fleet_state& state, const wire::StoreDeparturesT& request) {
  for (const auto& it : request.departures) {
    if (it) {
      record_departure(state.departures, marigoldstep::from_wire(*it), state.time);
    }
  }
}

void pack_departures(const departure_table& table, wire::FleetEntryT& out) {
  out.departure_number = table.number;
  for (const auto& [id, it] : table.by_id) {
    auto entry = std::make_unique<wire::DepartureEntryT>();
    entry->departure = marigoldstep::to_wire(it.server);
    entry->number = it.number;
    entry->recorded_s = it.recorded;
    out.departures.push_back(std::move(entry));
  }
}

departure_table unpack_departures(const wire::FleetEntryT& in) {
  departure_table out;
  out.number = in.departure_number;
  for (const auto& it : in.departures) {
    if (it->departure) {
      const auto server = marigoldstep::from_wire(*it->departure);
      out.by_id[server.id] = {server, it->number, it->recorded_s};
    }
  }
  return out;
}

void pack_servers_state(const fleet_state& state, wire::FleetEntryT& out) {
  for (const auto& [service, versions] : state.server_versions) {
    for (const auto& version : versions) {
      auto entry = std::make_unique<wire::VersionEntryT>();
      entry->service = service;
      entry->version = version;
      out.server_versions.push_back(std::move(entry));
    }
  }
  for (const auto& [zone, since] : state.evacuated_zones) {
    auto entry = std::make_unique<wire::EvacuatedZoneT>();
    entry->zone = zone;
    entry->since_s = since;
    out.evacuated_zones.push_back(std::move(entry));
  }
  out.evacuation_number = state.evacuation_number;
  out.router_count = state.router_count;
  pack_departures(state.departures, out);
}

void unpack_servers_state(const wire::FleetEntryT& in, fleet_state& state) {
  for (const auto& it : in.server_versions) {
    state.server_versions[it->service].insert(it->version);
  }
  for (const auto& it : in.evacuated_zones) {
    state.evacuated_zones[it->zone] = it->since_s;
  }
  state.evacuation_number = in.evacuation_number;
  state.router_count = in.router_count;
  state.departures = unpack_departures(in);
}

wire::ControlBodyUnion apply_body(fleet_state& state, const wire::ControlBodyUnion& body,
                                  const config_properties& properties) {
  wire::ControlBodyUnion reply;
  if (const auto* claim = body.AsClaimRequest()) {
    reply.Set(apply_claim(state.claims, *claim, state.time));
  } else if (const auto* change = body.AsChangeRequest()) {
    reply.Set(apply_change(state, *change, properties, state.time));
  } else if (const auto* order = body.AsOrderRequest()) {
    reply.Set(apply_order(state, *order));
  } else if (const auto* request = body.AsOperatorRequest()) {
    reply.Set(apply_operator(state.operators, *request));
  } else if (const auto* routing = body.AsStoreRouting()) {
    reply.Set(apply_routing(state, *routing));
  } else if (const auto* version = body.AsStoreVersion()) {
    apply_version(state, *version);
  } else if (const auto* evacuation = body.AsStoreEvacuation()) {
    reply.Set(apply_evacuation(state, *evacuation));
  } else if (const auto* count = body.AsStoreRouterCount()) {
    state.router_count = count->routers;
  } else if (const auto* departures = body.AsStoreDepartures()) {
    apply_departures(state, *departures);
  }
  return reply;
}

void pack_changes(const fleet_state& state, wire::FleetEntryT& out) {
  out.accepted_version = state.accepted_version;
  out.accepted =
      to_wire(state.accepted_change_id, state.accepted_text, state.accepted_properties);
  out.previous =
      to_wire(state.previous.change_id, state.previous.text, state.previous.properties);
  for (const auto& it : state.changes) {
    out.changes.push_back(std::make_unique<wire::ChangeRecordT>(it));
  }
  for (const auto& [id, it] : state.proposals) {
    out.proposals.push_back(to_wire(id, it.text, it.properties));
  }
  for (const auto& [key, it] : state.first_replies) {
    auto entry = std::make_unique<wire::ChangeAnswerT>();
    entry->change_id = key.change_id;
    entry->kind = key.kind;
    entry->reply = std::make_unique<wire::ChangeReplyT>(it.reply);
    entry->text_hash = it.text_hash;
    out.answers.push_back(std::move(entry));
  }
}

void unpack_changes(wire::FleetEntryT& in, fleet_state& state) {
  state.accepted_version = in.accepted_version;
  auto accepted = from_wire(in.accepted.get());
  state.accepted_change_id = std::move(accepted.change_id);
  state.accepted_text = std::move(accepted.text);
  state.accepted_properties = std::move(accepted.properties);
  state.previous = from_wire(in.previous.get());
  for (auto& it : in.changes) {
    state.changes.push_back(std::move(*it));
  }
  for (const auto& it : in.proposals) {
    state.proposals[it->change_id] = from_wire(it.get());
  }
  for (auto& it : in.answers) {
    if (it->reply) {
      state.first_replies[{it->change_id, it->kind}] = {std::move(*it->reply),
                                                        it->text_hash};
    }
  }
}

void pack_operators(const fleet_state& state, wire::FleetEntryT& out) {
  for (const auto& [name, it] : state.operators) {
    auto entry = std::make_unique<wire::OperatorEntryT>();
    entry->name = name;
    entry->salt = it.salt;
    entry->digest = it.digest;
    out.operators.push_back(std::move(entry));
  }
}

// Omits the operator's key, because the log must hold no secrets.
bytes encode_without_key(const wire::ControlFrameT& request) {
  if (request.body.AsClaimRequest() != nullptr) {
    return wire::encode(request); // has no key; saves the copy of a long response
  }
  wire::ControlFrameT out;
  out.correlation = request.correlation;
  out.body = request.body;
  if (auto* change = out.body.AsChangeRequest()) {
    change->operator_key.clear();
  } else if (auto* member = out.body.AsMemberRequest()) {
    member->operator_key.clear();
  } else if (auto* other = out.body.AsOperatorRequest()) {
    other->operator_key.clear();
  }
  return wire::encode(out);
}

void pack_claims_state(const fleet_state& state, wire::FleetEntryT& out) {
  out.claim_horizon_s = state.claims.horizon;
  for (const auto& [id, it] : state.claims.holders) {
    auto entry = std::make_unique<wire::HolderEntryT>();
    entry->node_id = id;
    entry->incarnation = it.newest_incarnation;
    out.holders.push_back(std::move(entry));
  }
}

bool unpack_claims(const wire::Snapshot& in, const wire::FleetEntryT& fleet,
                   claim_table& table) {
  table.horizon = fleet.claim_horizon_s;
  const auto n = in.claims() == nullptr ? 0 : in.claims()->size();
  for (flatbuffers::uoffset_t i = 0; i < n; ++i) {
    wire::ClaimEntryT entry;
    in.claims()->Get(i)->UnPackTo(&entry);
    if (!restore(table, entry)) {
      return false;
    }
  }
  for (const auto& it : fleet.holders) {
    auto holder = table.holders.find(it->node_id);
    if (holder == table.holders.end()) {
      return false;
    }
    holder->second.newest_incarnation = it->incarnation;
  }
  return true;
}

} // namespace

std::unique_ptr<wire::DepartureT> to_wire(const announced_server& server) {
  auto out = std::make_unique<wire::DepartureT>();
  out->id = server.id;
  out->started_ms = server.started;
  out->sequence = server.sequence;
  out->gone = server.state == announced_state::gone;
  out->service = server.service;
  out->zone = server.zone;
  out->host = server.host;
  out->port = server.port;
  out->slots = server.slots;
  out->version = server.version;
  return out;
}

announced_server from_wire(const wire::DepartureT& entry) {
  announced_server out;
  out.id = entry.id;
  out.started = entry.started_ms;
  out.sequence = entry.sequence;
  out.service = entry.service;
  out.zone = entry.zone;
  out.host = entry.host;
  out.port = entry.port;
  out.slots = entry.slots;
  out.state = entry.gone ? announced_state::gone : announced_state::draining;
  out.version = entry.version;
  return out;
}

bool has_version(const fleet_state& state, const std::string& service,
                 const std::string& version) {
  const auto it = state.server_versions.find(service);
  return it != state.server_versions.end() && it->second.contains(version);
}

bytes encode_command(const wire::ControlFrameT& request, unix_seconds time) {
  wire::LoggedCommandT command;
  command.time_s = time;
  const auto* change = request.body.AsChangeRequest();
  if (change != nullptr && change->kind == wire::ChangeKind::propose) {
    command.facts = to_wire(inspect_configuration(change->text));
  }
  command.frame = encode_without_key(request);
  flatbuffers::FlatBufferBuilder builder(initial_buffer_bytes);
  builder.FinishSizePrefixed(wire::LoggedCommand::Pack(builder, &command),
                             command_identifier);
  const auto* begin = builder.GetBufferPointer();
  return {begin, begin + builder.GetSize()};
}

wire::ControlBodyUnion apply_command(fleet_state& state, byte_view command) {
  const auto entry = decode_command(command);
  std::error_code ec;
  const auto frame = entry ? wire::decode_control(entry->frame, ec) : nullptr;
  if (!frame) {
    return {};
  }
  state.time = std::max(state.time, entry->time_s);
  expire_claims(state.claims, state.time, state.accepted_properties.claim_retention_s);
  return apply_body(state, frame->body, from_wire(entry->facts.get()));
}

bytes encode_snapshot(const fleet_state& state) {
  wire::FleetEntryT fleet;
  fleet.time_s = state.time;
  pack_changes(state, fleet);
  pack_claims_state(state, fleet);
  pack_operators(state, fleet);
  fleet.fencing = state.fencing;
  fleet.routing_version = state.routing_version;
  fleet.routing_packed_text = state.routing_packed_text;
  pack_servers_state(state, fleet);
  fleet.load_times_s.assign(state.load_times.begin(), state.load_times.end());
  flatbuffers::FlatBufferBuilder builder(initial_buffer_bytes +
                                         state.claims.usage.total_bytes);
  const auto packed_fleet = wire::FleetEntry::Pack(builder, &fleet);
  std::vector<flatbuffers::Offset<wire::ClaimEntry>> claims;
  claims.reserve(state.claims.records.size());
  for (const auto& [key, it] : state.claims.records) {
    claims.push_back(pack_claim(builder, key, it));
  }
  const auto packed_claims = builder.CreateVector(claims);
  wire::FinishSizePrefixedSnapshotBuffer(
      builder, wire::CreateSnapshot(builder, packed_fleet, packed_claims));
  const auto* begin = builder.GetBufferPointer();
  return {begin, begin + builder.GetSize()};
}

fleet_state decode_snapshot(byte_view data, std::error_code& ec) {
  ec = make_error_code(errc::storage_corrupt);
  flatbuffers::Verifier verifier(data.data(), data.size(), max_nesting,
                                 max_snapshot_tables);
  if (data.empty() || !wire::VerifySizePrefixedSnapshotBuffer(verifier)) {
    return {};
  }
  const auto* in = wire::GetSizePrefixedSnapshot(data.data());
  if (in->fleet() == nullptr) {
    return {};
  }
  wire::FleetEntryT fleet;
  in->fleet()->UnPackTo(&fleet);
  fleet_state state;
  state.time = fleet.time_s;
  unpack_changes(fleet, state);
  if (!unpack_claims(*in, fleet, state.claims)) {
    return {};
  }
  state.fencing = fleet.fencing;
  state.routing_version = fleet.routing_version;
  state.routing_packed_text = std::move(fleet.routing_packed_text);
  for (auto& it : fleet.operators) {
    state.operators[it->name] = {std::move(it->salt), std::move(it->digest)};
  }
  unpack_servers_state(fleet, state);
  state.load_times.assign(fleet.load_times_s.begin(), fleet.load_times_s.end());
  ec.clear();
  return state;
}

} // namespace marigoldstep
