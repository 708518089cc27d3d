#include "stand_in/response.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <array>

namespace marigoldstep::stand_in {

namespace {

constexpr std::uint32_t max_response_tokens = 100'000;

constexpr std::array<std::string_view, 16> vocabulary = {
    "amber", "basil",   "cedar",  "dune",  "ember",  "fern",   "glass", "harbor",
    "iris",  "juniper", "kettle", "lemon", "marble", "nectar", "olive", "paper"};

// Separates hashed fields, so that moving a character from one field to the next changes
// the hash.
constexpr char field_separator = '\x1f';

std::uint64_t request_hash(const chat_request& request) {
  std::string all = request.model + field_separator + request.user + field_separator;
  for (const auto& it : request.messages) {
    all += it.role + field_separator + it.content + field_separator;
  }
  return stable_hash(all);
}

std::string hex(std::uint64_t value) {
  return QByteArray::number(static_cast<qulonglong>(value), 16)
      .rightJustified(16, '0')
      .toStdString();
}

QByteArray quoted(const std::string& text) {
  // QJsonDocument cannot hold a bare string; a one-element array is serialized instead.
  const auto json = QJsonDocument(QJsonArray{QString::fromStdString(text)})
                        .toJson(QJsonDocument::Compact);
  return json.mid(1, json.size() - 2);
}

QByteArray usage_json(const token_usage& usage) {
  return "{\"prompt_tokens\":" + QByteArray::number(usage.prompt_tokens) +
         ",\"cached_tokens\":" + QByteArray::number(usage.cached_tokens) +
         ",\"completion_tokens\":" + QByteArray::number(usage.completion_tokens) + "}";
}

QByteArray response_start(const chat_request& request, std::string_view object) {
  return "{\"id\":\"chatcmpl-" + QByteArray::fromStdString(hex(request_hash(request))) +
         "\",\"object\":\"" + QByteArray(object.data(), qsizetype(object.size())) +
         "\",\"created\":0,\"model\":" + quoted(request.model) + ",\"choices\":[{";
}

std::optional<std::uint32_t> find_number(const QByteArray& body, const QByteArray& key) {
  const auto field = "\"" + key + "\":";
  const auto start = body.lastIndexOf(field);
  if (start < 0) {
    return std::nullopt;
  }
  const auto first = start + field.size();
  auto last = first;
  while (last < body.size() && body[last] >= '0' && body[last] <= '9') {
    ++last;
  }
  bool ok = false;
  const auto value = body.mid(first, last - first).toUInt(&ok);
  return ok ? std::optional<std::uint32_t>(value) : std::nullopt;
}

} // namespace

std::optional<chat_request> parse_chat_request(const QByteArray& body) {
  const auto document = QJsonDocument::fromJson(body);
  const auto root = document.object();
  const auto messages = root["messages"];
  if (!messages.isArray() || !root["model"].isString()) {
    return std::nullopt;
  }
  chat_request out;
  out.model = root["model"].toString().toStdString();
  out.user = root["user"].toString().toStdString();
  out.stream = root["stream"].toBool();
  const auto requested_tokens =
      root["max_tokens"].toInt(static_cast<int>(out.max_tokens));
  out.max_tokens = static_cast<std::uint32_t>(
      std::clamp(requested_tokens, 1, int(max_response_tokens)));
  for (const auto& it : messages.toArray()) {
    const auto message = it.toObject();
    out.messages.push_back({message["role"].toString().toStdString(),
                            message["content"].toString().toStdString()});
  }
  return out;
}

QByteArray render_chat_request(const chat_request& request) {
  QByteArray out =
      "{\"model\":" + quoted(request.model) + ",\"user\":" + quoted(request.user) +
      ",\"max_tokens\":" + QByteArray::number(request.max_tokens) +
      ",\"stream\":" + (request.stream ? "true" : "false") + ",\"messages\":[";
  for (std::size_t i = 0; i < request.messages.size(); ++i) {
    const auto& it = request.messages[i];
    out += (i == 0 ? "" : ",");
    out += "{\"role\":" + quoted(it.role) + ",\"content\":" + quoted(it.content) + "}";
  }
  return out + "]}";
}

std::uint32_t count_tokens(std::string_view text) {
  std::uint32_t n = 0;
  bool in_word = false;
  for (const char c : text) {
    n += (c != ' ' && !in_word) ? 1 : 0;
    in_word = c != ' ';
  }
  return n;
}

std::vector<std::string> response_tokens(const chat_request& request) {
  std::vector<std::string> out;
  out.reserve(request.max_tokens);
  const auto seed = request_hash(request);
  auto state = seed;
  for (std::uint32_t i = 0; i < request.max_tokens; ++i) {
    // Linear congruential generator with Knuth's MMIX constants. Only the high bits are
    // used, because the low bits have short periods.
    state = state * 6364136223846793005ULL + 1442695040888963407ULL;
    out.push_back(std::string(vocabulary[state >> 60U]) +
                  std::to_string((state >> 40U) % 1000) + " ");
  }
  return out;
}

std::string response_text(const chat_request& request) {
  std::string out;
  for (const auto& it : response_tokens(request)) {
    out += it;
  }
  return out;
}

QByteArray render_response(const chat_request& request, const token_usage& usage) {
  return response_start(request, "chat.completion") +
         "\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":" +
         quoted(response_text(request)) +
         "},\"finish_reason\":\"stop\"}],\"usage\":" + usage_json(usage) + "}";
}

std::vector<QByteArray> render_events(const chat_request& request,
                                      const token_usage& usage) {
  const auto start = "data: " + response_start(request, "chat.completion.chunk");
  std::vector<QByteArray> out;
  for (const auto& it : response_tokens(request)) {
    out.push_back(start + "\"index\":0,\"delta\":{\"content\":" + quoted(it) +
                  "},\"finish_reason\":null}]}\n\n");
  }
  out.push_back(start +
                "\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":" +
                usage_json(usage) + "}\n\n");
  out.emplace_back("data: [DONE]\n\n");
  return out;
}

QByteArray render_body(const chat_request& request, const token_usage& usage) {
  if (!request.stream) {
    return render_response(request, usage);
  }
  QByteArray out;
  for (const auto& it : render_events(request, usage)) {
    out += it;
  }
  return out;
}

std::optional<token_usage> find_usage(const QByteArray& body) {
  const auto prompt = find_number(body, "prompt_tokens");
  const auto cached = find_number(body, "cached_tokens");
  const auto completion = find_number(body, "completion_tokens");
  if (!prompt || !cached || !completion) {
    return std::nullopt;
  }
  return token_usage{*prompt, *cached, *completion};
}

QByteArray render_service_response(const service_call& call) {
  const auto all = call.method + field_separator + call.path + field_separator +
                   call.key + field_separator + call.body.toStdString();
  return "{\"call\":" + quoted(call.method + " " + call.path) +
         ",\"key\":" + quoted(call.key) + ",\"receipt\":\"" +
         QByteArray::fromStdString(hex(stable_hash(all))) + "\"}";
}

} // namespace marigoldstep::stand_in
