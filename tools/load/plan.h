#pragma once

#include "load/settings.h"
#include "stand_in/response.h"

#include <random>

namespace marigoldstep::load {

enum class request_kind { chat_turn, service_post, service_get };

// One request of a simulated caller, with the data that determines its response.
struct planned_request {
  request_kind kind = request_kind::chat_turn;
  std::string workspace;
  std::string chat_id;
  std::string service; // empty for chats
  priority urgency = priority::short_call;
  bool direct = false;    // sent directly to a stand-in, without router and agent
  bool returning = false; // second or later turn of its chat
  // Whether the caller resends it after a "not run" response.
  bool resend_not_run = true;
  stand_in::chat_request chat;
  stand_in::service_call call;
  QByteArray body;
};

// A chat and its remaining turns.
struct planned_chat {
  std::uint32_t index = 0;
  std::uint32_t turns_left = 0;
  std::mt19937_64 random;
  planned_request request; // the next turn
};

// All random values of a chat depend only on the seed and the index.
planned_chat make_chat(const load_settings& settings, std::uint32_t index);

// Appends the expected response and the next user message to the chat's request.
void prepare_next_turn(planned_chat& chat, const load_settings& settings);

// Draws the pause before the next turn from a Pareto type II (Lomax) distribution with
// the configured median; values are capped at max_pause.
milliseconds draw_pause(planned_chat& chat, const load_settings& settings);

// Draws a start time, relative to the start of the run, within the start window.
milliseconds draw_start(const load_settings& settings, std::string_view purpose,
                        std::uint32_t index);

// The idempotency key of a call begins with its creation time in Unix seconds.
planned_request make_call(const load_settings& settings, const service_load& service,
                          std::uint32_t index, unix_seconds now);
planned_request make_lookup(const load_settings& settings, const service_load& service,
                            std::uint32_t index);

} // namespace marigoldstep::load
