#include "marigoldstep/io/link_messages.h"

#include "marigoldstep/io/text_compression.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace marigoldstep::io {

namespace {

// Compression does not shrink frames below this size.
constexpr std::size_t compression_threshold_bytes = 600;
// Fixed-point values on the wire.
constexpr double rest_scale = 16;
constexpr double completed_unit_ms = 10;
constexpr double share_scale = std::numeric_limits<std::uint16_t>::max();

std::uint16_t saturate(double value) {
  constexpr double max_value = std::numeric_limits<std::uint16_t>::max();
  return static_cast<std::uint16_t>(std::lround(std::clamp(value, 0.0, max_value)));
}

// Calls visit with each key and value of the parallel lists.
template <typename Visit>
void for_each_part(const wire::PartValuesT& values, Visit visit) {
  const auto n =
      std::min({values.services.size(), values.parts.size(), values.values.size()});
  for (std::size_t i = 0; i < n; ++i) {
    visit(part_key{values.services[i], values.parts[i]}, values.values[i]);
  }
}

void add_part(wire::PartValuesT& out, const part_key& key, std::uint16_t value) {
  out.services.push_back(key.service);
  out.parts.push_back(key.part);
  out.values.push_back(value);
}

// The list, created if it is missing.
template <typename List> List& made(std::unique_ptr<List>& list) {
  if (!list) {
    list = std::make_unique<List>();
  }
  return *list;
}

// Calls visit with the trait, service and value of each entry of both lists, which may be
// null.
template <typename Visit>
void for_each_trait(const wire::PartValuesT* parts, const wire::PartValuesT* requests,
                    Visit visit) {
  if (parts != nullptr) {
    for_each_part(*parts, [&](const part_key& key, std::uint16_t value) {
      visit(request_trait{trait_kind::prompt_part, key.service, key.part}, key.service,
            value);
    });
  }
  if (requests != nullptr) {
    for_each_part(*requests, [&](const part_key& key, std::uint16_t value) {
      visit(request_trait{trait_kind::whole_request, 0, key.part}, key.service, value);
    });
  }
}

// The values of lists that are parallel to those of parts and of whole requests; 0 beyond
// their ends.
template <typename Value> struct parallel_values {
  const std::vector<Value>& parts;
  const std::vector<Value>& requests;
  std::size_t next_part = 0;
  std::size_t next_request = 0;

  Value next(bool is_request) {
    const auto& list = is_request ? requests : parts;
    const auto i = is_request ? next_request++ : next_part++;
    return i < list.size() ? list[i] : Value();
  }
};
template <typename Value>
parallel_values(const std::vector<Value>&, const std::vector<Value>&)
    -> parallel_values<Value>;

// Calls visit with the id of the part or request and the crash, for each entry of the
// list, which may be null.
template <typename Visit>
void for_each_crash(const wire::PartCrashesT* list, time_point now, Visit visit) {
  if (list == nullptr) {
    return;
  }
  const auto n =
      std::min({list->services.size(), list->parts.size(), list->servers.size(),
                list->versions.size(), list->ages_ms.size(), list->answering.size()});
  for (std::size_t i = 0; i < n; ++i) {
    visit(list->parts[i],
          server_crash{list->servers[i], list->services[i], list->versions[i],
                       now - milliseconds(list->ages_ms[i]), list->answering[i]});
  }
}

} // namespace

std::uint32_t server_hash(std::string_view id) {
  return static_cast<std::uint32_t>(stable_hash(id));
}

// The text is already compressed.
bytes encode_fan_out(const wire::RoutingTextT& message) {
  return wire::encode_link(message);
}

bytes encode_fan_out(const wire::ServerUpdateT& message) {
  auto frame = wire::encode_link(message);
  if (frame.size() < compression_threshold_bytes) {
    return frame;
  }
  wire::PackedFrameT out;
  out.packed = compress_text({reinterpret_cast<const char*>(frame.data()), frame.size()});
  return wire::encode_link(std::move(out));
}

// Hashes and small numbers hardly shrink.
bytes encode_fan_out(const wire::FleetLoadT& message) {
  return wire::encode_link(message);
}

std::unique_ptr<wire::LinkFrameT> decode_compressed_link(byte_view buf,
                                                         std::error_code& ec) {
  auto frame = wire::decode_link(buf, ec);
  if (!frame || frame->body.AsPackedFrame() == nullptr) {
    return frame;
  }
  const auto text = decompress_text(frame->body.AsPackedFrame()->packed);
  return wire::decode_link(as_bytes(text), ec);
}

std::unique_ptr<wire::ServerLoadsT>
to_wire(const std::map<std::uint32_t, load_count>& loads) {
  constexpr std::uint64_t max_value = std::numeric_limits<std::uint16_t>::max();
  constexpr std::uint64_t tokens_per_kilotoken = 1000;
  auto out = std::make_unique<wire::ServerLoadsT>();
  for (const auto& [server, it] : loads) {
    out->servers.push_back(server);
    out->requests.push_back(
        static_cast<std::uint16_t>(std::min<std::uint64_t>(it.requests, max_value)));
    out->kilotokens.push_back(static_cast<std::uint16_t>(std::min(
        (it.tokens + tokens_per_kilotoken - 1) / tokens_per_kilotoken, max_value)));
  }
  return out;
}

std::map<std::uint32_t, load_count> from_wire(const wire::ServerLoadsT& loads) {
  constexpr std::uint64_t tokens_per_kilotoken = 1000;
  std::map<std::uint32_t, load_count> out;
  const auto n =
      std::min({loads.servers.size(), loads.requests.size(), loads.kilotokens.size()});
  for (std::size_t i = 0; i < n; ++i) {
    out[loads.servers[i]] = {loads.requests[i],
                             loads.kilotokens[i] * tokens_per_kilotoken};
  }
  return out;
}

wire::FleetLoadT to_wire(const load_digest& digest) {
  wire::FleetLoadT out;
  out.loads = to_wire(digest.servers);
  for (const auto& [service, mean] : digest.rest_requests) {
    out.rest_services.push_back(service);
    out.rest_requests.push_back(saturate(mean * rest_scale));
  }
  return out;
}

load_digest from_wire(const wire::FleetLoadT& message) {
  load_digest out;
  if (message.loads) {
    out.servers = from_wire(*message.loads);
  }
  const auto n = std::min(message.rest_services.size(), message.rest_requests.size());
  for (std::size_t i = 0; i < n; ++i) {
    out.rest_requests[message.rest_services[i]] = message.rest_requests[i] / rest_scale;
  }
  return out;
}

std::unique_ptr<wire::PartValuesT>
to_wire(const std::map<part_key, std::uint32_t>& requests) {
  auto out = std::make_unique<wire::PartValuesT>();
  for (const auto& [key, n] : requests) {
    add_part(*out, key, saturate(n));
  }
  return out;
}

std::map<part_key, std::uint32_t>
part_requests_from_wire(const wire::PartValuesT& values) {
  std::map<part_key, std::uint32_t> out;
  for_each_part(values,
                [&](const part_key& key, std::uint16_t value) { out[key] += value; });
  return out;
}

std::unique_ptr<wire::PartValuesT>
to_wire(const std::vector<std::pair<part_key, double>>& shares) {
  auto out = std::make_unique<wire::PartValuesT>();
  for (const auto& [key, share] : shares) {
    add_part(*out, key, saturate(share * share_scale));
  }
  return out;
}

std::map<part_key, double> part_shares_from_wire(const wire::PartValuesT& values) {
  std::map<part_key, double> out;
  for_each_part(values, [&](const part_key& key, std::uint16_t value) {
    out[key] = value / share_scale;
  });
  return out;
}

void add_to_wire(wire::RouterLoadT& message, const trait_report& report, time_point now) {
  for (const auto& [trait, crashes] : report.crashes) {
    auto& out = made(is_whole(trait) ? message.request_crashes : message.crashes);
    for (const auto& it : crashes) {
      out.services.push_back(it.service);
      out.parts.push_back(trait.id);
      out.servers.push_back(it.server);
      out.versions.push_back(it.version);
      out.ages_ms.push_back(static_cast<std::uint32_t>(
          std::max<milliseconds::rep>(0, (now - it.at).count())));
      out.answering.push_back(it.answering);
    }
  }
  for (const auto& [trait, at] : report.completed) {
    const auto age = static_cast<double>((now - at).count());
    add_part(made(is_whole(trait) ? message.completed_requests : message.completed),
             {trait.service, trait.id}, saturate(age / completed_unit_ms));
  }
  for (const auto& [trait, refused] : report.refused) {
    add_part(made(is_whole(trait) ? message.refused_requests : message.refused),
             {refused.count > 0 ? refused.service : trait.service, trait.id},
             saturate(refused.count));
    (is_whole(trait) ? message.refused_request_probes : message.refused_probes)
        .push_back(refused.probes);
  }
}

trait_report trait_report_from_wire(const wire::RouterLoadT& message, time_point now) {
  trait_report out;
  for_each_crash(message.crashes.get(), now, [&](std::uint64_t id, const auto& crash) {
    out.crashes[{trait_kind::prompt_part, crash.service, id}].push_back(crash);
  });
  for_each_crash(message.request_crashes.get(), now,
                 [&](std::uint64_t id, const auto& crash) {
                   out.crashes[{trait_kind::whole_request, 0, id}].push_back(crash);
                 });
  const auto add_completed = [&](const request_trait& trait, std::uint16_t value) {
    out.completed[trait] = now - milliseconds(std::lround(value * completed_unit_ms));
  };
  for_each_trait(
      message.completed.get(), message.completed_requests.get(),
      [&](const auto& trait, auto, auto value) { add_completed(trait, value); });
  parallel_values probes{message.refused_probes, message.refused_request_probes};
  for_each_trait(message.refused.get(), message.refused_requests.get(),
                 [&](const auto& trait, std::uint32_t service, std::uint16_t value) {
                   auto& refused = out.refused[trait];
                   refused.count += value;
                   refused.service = service;
                   refused.probes = probes.next(is_whole(trait));
                 });
  return out;
}

void add_to_wire(wire::FleetLoadT& message, const quarantine_notice& notice) {
  for (const auto& [trait, probe] : notice.quarantined) {
    add_part(made(is_whole(trait) ? message.quarantined_requests : message.quarantined),
             {trait.service, trait.id}, probe.number);
    (is_whole(trait) ? message.request_probe_routers : message.probe_routers)
        .push_back(probe.router);
  }
  for (const auto& trait : notice.watched) {
    add_part(made(is_whole(trait) ? message.watched_requests : message.watched),
             {trait.service, trait.id}, 0);
  }
  for (const auto& trait : notice.lifted) {
    add_part(made(is_whole(trait) ? message.lifted_requests : message.lifted),
             {trait.service, trait.id}, 0);
  }
}

quarantine_notice notice_from_wire(const wire::FleetLoadT& message) {
  quarantine_notice out;
  parallel_values routers{message.probe_routers, message.request_probe_routers};
  for_each_trait(message.quarantined.get(), message.quarantined_requests.get(),
                 [&](const auto& trait, auto, std::uint16_t number) {
                   out.quarantined[trait] = {routers.next(is_whole(trait)), number};
                 });
  for_each_trait(message.watched.get(), message.watched_requests.get(),
                 [&](const auto& trait, auto, auto) { out.watched.insert(trait); });
  for_each_trait(message.lifted.get(), message.lifted_requests.get(),
                 [&](const auto& trait, auto, auto) { out.lifted.insert(trait); });
  return out;
}

announced_server from_wire(const wire::AnnouncedServerT& entry) {
  announced_server out;
  out.id = entry.id;
  out.started = entry.started_ms;
  out.sequence = entry.sequence;
  out.service = entry.service;
  out.zone = entry.zone;
  out.host = entry.host;
  out.port = entry.port;
  out.slots = entry.slots;
  out.state = static_cast<announced_state>(entry.state);
  out.warmup_left = milliseconds(entry.warmup_ms);
  out.version = entry.version;
  return out;
}

wire::AnnouncedServerT to_wire(const directory_entry& entry, time_point now) {
  const auto& server = entry.server;
  wire::AnnouncedServerT out;
  out.id = server.id;
  out.started_ms = server.started;
  out.sequence = server.sequence;
  out.service = server.service;
  out.zone = server.zone;
  out.host = server.host;
  out.port = server.port;
  out.slots = server.slots;
  out.version = server.version;
  out.state = static_cast<wire::AnnouncedState>(server.state);
  out.warmup_ms = static_cast<std::uint32_t>(server.warmup_left.count());
  out.silent_ms = static_cast<std::uint32_t>(
      std::max<milliseconds::rep>(0, (now - entry.last_seen).count()));
  return out;
}

std::unique_ptr<wire::FeedPositionT> to_wire(const feed_position& at) {
  auto out = std::make_unique<wire::FeedPositionT>();
  out->epoch = at.epoch;
  out->number = at.number;
  return out;
}

feed_position from_wire(const std::unique_ptr<wire::FeedPositionT>& at) {
  return at ? feed_position{at->epoch, at->number} : feed_position();
}

} // namespace marigoldstep::io
