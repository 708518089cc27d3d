#include "stand_in/engine_model.h"
#include "stand_in/faults.h"
#include "stand_in/orders.h"
#include "stand_in/service_model.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace marigoldstep;
using namespace marigoldstep::stand_in;

namespace {

constexpr auto start = time_point(milliseconds(1000));

engine_request make_request(std::uint64_t id, std::uint64_t first_block,
                            std::uint32_t prompt_tokens, std::uint32_t response_tokens) {
  engine_request out;
  out.id = id;
  out.prompt = {{first_block, prompt_tokens}};
  out.response = {first_block + 1, response_tokens};
  return out;
}

chat_request make_chat(const std::string& user, const std::string& question) {
  chat_request out;
  out.model = "m";
  out.user = user;
  out.messages = {{"system", "a b c d"}, {"user", question}};
  return out;
}

// Time until the request with this id finishes, in steps of a millisecond.
milliseconds time_to_finish(engine_model& model, std::uint64_t id) {
  for (auto now = start + milliseconds(1);; now += milliseconds(1)) {
    for (const auto& it : advance(model, now)) {
      if (it.id == id && it.finished) {
        return now - start;
      }
    }
    REQUIRE(now < start + milliseconds(100'000));
  }
}

} // namespace

// Guards against an engine whose speed does not depend on its load: load skew would then
// cost nothing and the demo's latencies would be meaningless.
TEST_CASE("the token rate falls with the number of running requests") {
  engine_settings settings;
  settings.tokens_per_second = 100;
  settings.slowdown_per_request = 0.5;
  settings.prefill_tokens_per_second = 1000;
  auto alone = make_engine_model(settings, start);
  submit(alone, make_request(1, 10, 1000, 100), start);
  CHECK(time_to_finish(alone, 1) == milliseconds(2000)); // 1 s prefill, 1 s tokens

  auto shared = make_engine_model(settings, start);
  submit(shared, make_request(1, 10, 0, 100), start);
  submit(shared, make_request(2, 20, 0, 1000), start);
  CHECK(time_to_finish(shared, 1) == milliseconds(1500));
}

// Guards against more running requests than slots, short requests behind patient ones,
// and a slot that stays occupied after its request was cancelled.
TEST_CASE("slots are bounded, assigned by priority and freed on cancellation") {
  engine_settings settings;
  settings.slots = 1;
  auto model = make_engine_model(settings, start);
  submit(model, make_request(1, 10, 10, 50), start);
  auto patient = make_request(2, 20, 10, 50);
  patient.urgency = priority::patient;
  submit(model, patient, start);
  submit(model, make_request(3, 30, 10, 50), start);
  REQUIRE(model.running.size() == 1);
  CHECK(waiting_count(model) == 2);

  cancel(model, 1, start + milliseconds(5));
  REQUIRE(model.running.size() == 1);
  CHECK(model.running.front().request.id == 3);
  cancel(model, 2, start + milliseconds(5));
  CHECK(waiting_count(model) == 0);
}

// Guards against counting a prefix as cached that belongs to another chat, was evicted or
// follows a changed message.
TEST_CASE("only a stored prefix of equal messages counts as cached") {
  prefix_cache cache;
  cache.capacity_tokens = 12;
  const auto first = prefix_blocks(make_chat("w/1", "one two three"));
  const auto other = prefix_blocks(make_chat("w/2", "four five six seven"));
  CHECK(match_prefix(cache, first) == 0);
  store_prefix(cache, first, start);
  CHECK(match_prefix(cache, first) == 7);
  CHECK(match_prefix(cache, other) == 4); // the shared system message

  store_prefix(cache, other, start);
  CHECK(cache.used_tokens == 11);
  const std::vector<prefix_block> large = {{99, 5}};
  store_prefix(cache, large, start);
  CHECK(cache.used_tokens <= 12);
  CHECK(match_prefix(cache, first) == 4); // its last block was used least recently
  CHECK(match_prefix(cache, large) == 5);
}

// Guards against a count of used tokens that differs from the stored blocks.
TEST_CASE("the prefix cache never exceeds its capacity") {
  CHECK(rc::check([](const std::vector<std::uint8_t>& block_ids) {
    prefix_cache cache;
    cache.capacity_tokens = 40;
    for (const auto it : block_ids) {
      const std::uint32_t tokens = 1 + it % 9;
      store_prefix(cache, {{it / 16U, tokens}, {100U + it, tokens}}, start);
      std::uint64_t sum = 0;
      for (const auto& block : cache.lru_order) {
        sum += block.tokens;
      }
      RC_ASSERT(sum == cache.used_tokens);
      RC_ASSERT(sum <= cache.capacity_tokens);
      RC_ASSERT(cache.blocks.size() == cache.lru_order.size());
    }
  }));
}

// Guards against equal responses for two chats: misdirected responses would go
// undetected.
TEST_CASE("the response depends on the chat, the model and every message") {
  const auto chat = make_chat("w/1", "q");
  CHECK(response_text(chat) == response_text(make_chat("w/1", "q")));
  CHECK(response_text(chat) != response_text(make_chat("w/2", "q")));
  CHECK(response_text(chat) != response_text(make_chat("w/1", "r")));
  auto model = chat;
  model.model = "n";
  CHECK(response_text(chat) != response_text(model));
  CHECK(count_tokens(response_text(chat)) == chat.max_tokens);
  CHECK(parse_chat_request(render_chat_request(chat)) == chat);
}

// Guards against faults that occur too early, too late or too often.
TEST_CASE("faults are parsed strictly and end after their number of requests") {
  CHECK_FALSE(parse_faults("[]"));
  CHECK_FALSE(parse_faults(R"({"cut_after":3})"));
  CHECK_FALSE(parse_faults(R"({"fail":1})"));
  CHECK_FALSE(parse_faults(R"({"slow_factor":0})"));
  auto faults = parse_faults(R"({"cut_after_bytes":10,"requests":1})");
  REQUIRE(faults);
  const auto consumed = consume_faults(*faults);
  CHECK(sendable_bytes(consumed, 0, 8) == 8);
  CHECK(sendable_bytes(consumed, 8, 8) == 2);
  CHECK(sendable_bytes(consumed, 10, 8) == 0);
  CHECK(*faults == fault_settings{});
}

// Guards against a stand-in service that hides a second run of a call.
TEST_CASE("every run of a call is counted by key and by body") {
  service_runs runs;
  const service_call call{"POST", "/bookings", "1-a", "{}"};
  const auto response = run_call(runs, call);
  CHECK(run_call(runs, call) == response);
  run_call(runs, {"GET", "/bookings/1", "", ""});
  CHECK(runs.by_key.at("1-a") == 2);
  CHECK(runs.by_body.at(body_hash(call)) == 2);
  CHECK(runs.total == 2);
}

// Guards against tests of the agent's fencing that pass because the engine itself rejects
// stale orders.
TEST_CASE("only engines that check fencing tokens reject stale orders") {
  engine_order_state state;
  const QByteArray newer = R"({"kind":"set_version","argument":"3","fencing":7})";
  const QByteArray stale = R"({"kind":"set_version","argument":"2","fencing":6})";
  CHECK(apply_order(state, newer) == order_result::applied);
  CHECK(apply_order(state, stale) == order_result::stale_fencing);
  CHECK(state.version == "3");
  state.checks_fencing = false;
  CHECK(apply_order(state, stale) == order_result::applied);
  CHECK(state.version == "2");
  CHECK(apply_order(state, R"({"kind":"other","fencing":9})") == order_result::malformed);
}
