#include "agent/usage.h"

#include <QByteArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace marigoldstep::agent {

namespace {

// The event with the usage is one of the last ones of a stream.
constexpr qsizetype searched_tail_bytes = 4096;
// Larger documents are skipped, because parsing them takes too long for a statistic.
constexpr qsizetype max_document_bytes = 256 << 10;

token_usage parse_usage(const QByteArray& text) {
  const auto usage = QJsonDocument::fromJson(text).object()["usage"].toObject();
  const auto details = usage["prompt_tokens_details"].toObject();
  const auto cached = details.contains("cached_tokens") ? details["cached_tokens"]
                                                        : usage["cached_tokens"];
  token_usage out;
  out.prompt_tokens = static_cast<std::uint32_t>(usage["prompt_tokens"].toInt());
  out.cached_tokens = static_cast<std::uint32_t>(cached.toInt());
  return out;
}

} // namespace

token_usage find_usage(byte_view response, bool is_event_stream) {
  const auto text =
      QByteArray::fromRawData(reinterpret_cast<const char*>(response.data()),
                              static_cast<qsizetype>(response.size()));
  if (!is_event_stream) {
    return text.size() > max_document_bytes ? token_usage{} : parse_usage(text);
  }
  const auto lines = text.right(searched_tail_bytes).split('\n');
  for (auto it = lines.rbegin(); it != lines.rend(); ++it) {
    if (it->startsWith("data: {") && it->contains("\"usage\":{")) {
      return parse_usage(it->mid(qsizetype(sizeof("data: ")) - 1));
    }
  }
  return {};
}

} // namespace marigoldstep::agent
