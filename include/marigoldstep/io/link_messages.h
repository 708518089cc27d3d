#pragma once

#include "marigoldstep/change_feed.h"
#include "marigoldstep/dispatch.h"
#include "marigoldstep/fleet_load.h"
#include "marigoldstep/server_directory.h"
#include "marigoldstep/trait_history.h"
#include "marigoldstep/wire.h"

#include <map>
#include <memory>
#include <string_view>
#include <system_error>

// Conversion between core types and messages on control links, and compressed frames.
namespace marigoldstep::io {

// Encodes a message for many receivers, compressed when it is large enough to shrink.
bytes encode_fan_out(const wire::RoutingTextT& message);
bytes encode_fan_out(const wire::ServerUpdateT& message);
bytes encode_fan_out(const wire::FleetLoadT& message);
std::unique_ptr<wire::LinkFrameT> decode_compressed_link(byte_view buf,
                                                         std::error_code& ec);

// Hash that identifies a server in messages.
std::uint32_t server_hash(std::string_view id);
// Loads by server hash. Sending saturates request counts at 65535 and tokens, rounded
// up to thousands, at 65535 thousand.
std::unique_ptr<wire::ServerLoadsT>
to_wire(const std::map<std::uint32_t, load_count>& loads);
std::map<std::uint32_t, load_count> from_wire(const wire::ServerLoadsT& loads);

// Digest of the fleet's loads. Means are rounded to sixteenths of a request.
wire::FleetLoadT to_wire(const load_digest& digest);
load_digest from_wire(const wire::FleetLoadT& message);

// Requests by part, saturated at 65535.
std::unique_ptr<wire::PartValuesT>
to_wire(const std::map<part_key, std::uint32_t>& requests);
std::map<part_key, std::uint32_t>
part_requests_from_wire(const wire::PartValuesT& values);

// Shares by part, from 0 to 1, rounded to 1/65535.
std::unique_ptr<wire::PartValuesT>
to_wire(const std::vector<std::pair<part_key, double>>& shares);
std::map<part_key, double> part_shares_from_wire(const wire::PartValuesT& values);

// Adds a router's report about parts that crash servers. Times are sent as ages.
void add_to_wire(wire::RouterLoadT& message, const trait_report& report, time_point now);
trait_report trait_report_from_wire(const wire::RouterLoadT& message, time_point now);
void add_to_wire(wire::FleetLoadT& message, const quarantine_notice& notice);
quarantine_notice notice_from_wire(const wire::FleetLoadT& message);

std::unique_ptr<wire::FeedPositionT> to_wire(const feed_position& at);
feed_position from_wire(const std::unique_ptr<wire::FeedPositionT>& at);

// The entry carries the time from the server's last report to now.
announced_server from_wire(const wire::AnnouncedServerT& entry);
wire::AnnouncedServerT to_wire(const directory_entry& entry, time_point now);

} // namespace marigoldstep::io
