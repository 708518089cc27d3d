#pragma once

#include "load/settings.h"
#include "stand_in/response.h"

#include <random>

namespace marigoldstep::load {

enum class request_kind { chat_turn, service_post, service_get };

// One request as a caller would make it, with what its answer must be.
struct planned_request {
  request_kind kind = request_kind::chat_turn;
  std::string workspace;
  std::string chat_id;
  std::string service; // empty for chats
  priority urgency = priority::short_call;
  bool direct = false;    // sent to a stand-in without router and agent
  bool returning = false; // second or later turn of its chat
  // Whether it is sent again after a "not run" answer.
  bool resend_not_run = true;
  stand_in::chat_request chat;
  stand_in::service_call call;
  QByteArray body;
};

// A chat with its turns still to come.
struct planned_chat {
  std::uint32_t index = 0;
  std::uint32_t turns_left = 0;
  std::mt19937_64 random;
  planned_request request; // the next turn
};

// Everything drawn for a chat depends on the seed and its index alone.
planned_chat make_chat(const load_settings& settings, std::uint32_t index);

// Adds the answer and the next message to the chat's request.
void prepare_next_turn(planned_chat& chat, const load_settings& settings);

// Pause before the chat returns, drawn from a Pareto distribution of type II
// with the median and the upper bound of the settings.
duration draw_pause(planned_chat& chat, const load_settings& settings);

// When a chat or call begins within the start window.
duration draw_start(const load_settings& settings, std::string_view purpose,
                    std::uint32_t index);

// The key of a call names the second in which it was made.
planned_request make_call(const load_settings& settings, const service_load& service,
                          std::uint32_t index, unix_seconds now);
planned_request make_lookup(const load_settings& settings, const service_load& service,
                            std::uint32_t index);

} // namespace marigoldstep::load
