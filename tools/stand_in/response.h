#pragma once

#include "marigoldstep/types.h"

#include <QByteArray>

#include <optional>
#include <string>
#include <vector>

// Responses of the stand-ins. They depend only on the request, so that a caller can check
// every byte without knowing which backend server sent them.
namespace marigoldstep::stand_in {

struct chat_message {
  std::string role;
  std::string content;

  friend bool operator==(const chat_message&, const chat_message&) = default;
};

// The fields of a chat completion request that determine its response.
struct chat_request {
  std::string model;
  std::string user; // "workspace/chat id"; names the chat the request is part of
  std::uint32_t max_tokens = 16;
  bool stream = false;
  std::vector<chat_message> messages;

  friend bool operator==(const chat_request&, const chat_request&) = default;
};

// Parses a request body. Returns nullopt if it is not a chat completion request.
std::optional<chat_request> parse_chat_request(const QByteArray& body);
QByteArray render_chat_request(const chat_request& request);

struct token_usage {
  std::uint32_t prompt_tokens = 0;
  std::uint32_t cached_tokens = 0;
  std::uint32_t completion_tokens = 0;

  friend bool operator==(const token_usage&, const token_usage&) = default;
};

// Number of tokens in a text; a token is a word and the space after it.
std::uint32_t count_tokens(std::string_view text);

// The tokens of the response, generated from a hash of the request.
std::vector<std::string> response_tokens(const chat_request& request);
std::string response_text(const chat_request& request);

// Body of a response that is not streamed.
QByteArray render_response(const chat_request& request, const token_usage& usage);

// The server-sent events of a streamed response: one per token, then one with the usage,
// then "data: [DONE]".
std::vector<QByteArray> render_events(const chat_request& request,
                                      const token_usage& usage);
QByteArray render_body(const chat_request& request, const token_usage& usage);

// Finds the usage in the body of a streamed or plain response.
std::optional<token_usage> find_usage(const QByteArray& body);

// A call to a plain service.
struct service_call {
  std::string method;
  std::string path;
  std::string key; // idempotency key, may be empty
  QByteArray body;

  friend bool operator==(const service_call&, const service_call&) = default;
};
QByteArray render_service_response(const service_call& call);

} // namespace marigoldstep::stand_in
