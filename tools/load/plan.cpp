#include "load/plan.h"

#include <algorithm>
#include <cmath>

namespace marigoldstep::load {

namespace {

// Tail index of the pause distribution: most chats return soon, a few much later.
constexpr double pause_tail_index = 1.2;

std::mt19937_64 make_random(const load_settings& settings, std::string_view purpose,
                            std::uint32_t index) {
  return std::mt19937_64(
      stable_hash(std::string(purpose) + std::to_string(index), settings.seed));
}

// Uniform in [0, 1). std::uniform_real_distribution is not used, because its results
// differ between standard libraries.
double draw_uniform(std::mt19937_64& random) {
  return static_cast<double>(random() >> 11U) * 0x1p-53;
}

std::string draw_words(std::mt19937_64& random, std::uint32_t count) {
  std::string out;
  for (std::uint32_t i = 0; i < count; ++i) {
    out += (i == 0 ? "w" : " w") + std::to_string(random() % 100'000);
  }
  return out;
}

const workspace_load& draw_workspace(const load_settings& settings,
                                     std::mt19937_64& random) {
  std::uint64_t total = 0;
  for (const auto& it : settings.workspaces) {
    total += it.weight;
  }
  auto drawn = random() % total;
  for (const auto& it : settings.workspaces) {
    if (drawn < it.weight) {
      return it;
    }
    drawn -= it.weight;
  }
  return settings.workspaces.back();
}

std::string system_prompt(const load_settings& settings, const std::string& workspace) {
  auto random = make_random(settings, "system " + workspace, 0);
  return draw_words(random, settings.system_tokens);
}

std::string hex_token(std::mt19937_64& random) {
  return QByteArray::number(static_cast<qulonglong>(random()), 16)
      .rightJustified(16, '0')
      .toStdString();
}

} // namespace

planned_chat make_chat(const load_settings& settings, std::uint32_t index) {
  planned_chat out;
  out.index = index;
  out.turns_left = settings.turns;
  out.random = make_random(settings, "chat", index);
  auto& request = out.request;
  const auto& workspace = draw_workspace(settings, out.random);
  request.workspace = workspace.name;
  request.chat_id = "chat-" + std::to_string(settings.seed) + "-" + std::to_string(index);
  request.direct = draw_uniform(out.random) < settings.direct_share;
  request.urgency = draw_uniform(out.random) < settings.patient_share
                        ? priority::patient
                        : priority::short_call;
  request.chat.model = workspace.models[out.random() % workspace.models.size()];
  request.chat.user = request.workspace + "/" + request.chat_id;
  request.chat.messages = {{"system", system_prompt(settings, request.workspace)},
                           {"user", draw_words(out.random, settings.message_tokens)}};
  request.chat.max_tokens = settings.response_tokens;
  request.chat.stream = draw_uniform(out.random) < settings.stream_share;
  request.body = stand_in::render_chat_request(request.chat);
  return out;
}

void prepare_next_turn(planned_chat& chat, const load_settings& settings) {
  auto& request = chat.request;
  request.chat.messages.push_back({"assistant", stand_in::response_text(request.chat)});
  request.chat.messages.push_back(
      {"user", draw_words(chat.random, settings.message_tokens)});
  request.chat.stream = draw_uniform(chat.random) < settings.stream_share;
  request.body = stand_in::render_chat_request(request.chat);
  request.returning = true;
}

milliseconds draw_pause(planned_chat& chat, const load_settings& settings) {
  const auto quantile = [](double u) {
    return std::pow(1 - u, -1 / pause_tail_index) - 1;
  };
  const auto median = static_cast<double>(settings.median_pause.count());
  const auto drawn = median * quantile(draw_uniform(chat.random)) / quantile(0.5);
  const auto max_pause_ms = static_cast<double>(settings.max_pause.count());
  return milliseconds(static_cast<std::int64_t>(std::min(drawn, max_pause_ms)));
}

milliseconds draw_start(const load_settings& settings, std::string_view purpose,
                        std::uint32_t index) {
  auto random =
      make_random(settings, std::string("start ") + std::string(purpose), index);
  const auto window = static_cast<double>(settings.start_window.count());
  return milliseconds(static_cast<std::int64_t>(draw_uniform(random) * window));
}

planned_request make_call(const load_settings& settings, const service_load& service,
                          std::uint32_t index, unix_seconds now) {
  auto random = make_random(settings, "call " + service.name, index);
  planned_request out;
  out.kind = request_kind::service_post;
  out.workspace = draw_workspace(settings, random).name;
  out.service = service.name;
  out.direct = settings.direct;
  out.resend_not_run = draw_uniform(random) >= settings.resend.keep_not_run_share;
  out.call.method = "POST";
  out.call.path = service.path;
  out.call.key = std::to_string(now) + "-" + hex_token(random);
  out.call.body = QByteArray::fromStdString(R"({"item":"kettle","site":")" +
                                            hex_token(random) + R"("})");
  out.body = out.call.body;
  return out;
}

planned_request make_lookup(const load_settings& settings, const service_load& service,
                            std::uint32_t index) {
  auto random = make_random(settings, "lookup " + service.name, index);
  planned_request out;
  out.kind = request_kind::service_get;
  out.workspace = draw_workspace(settings, random).name;
  out.service = service.name;
  out.direct = settings.direct;
  out.call.method = "GET";
  out.call.path = service.path + "/" + std::to_string(random() % 1000);
  return out;
}

} // namespace marigoldstep::load
