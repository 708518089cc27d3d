#pragma once

#include "agent/attempt.h"

#include <QObject>

#include <unordered_map>

namespace marigoldstep::agent {

// Owns all known attempts and delivers their responses to routers.
class attempt_store : public QObject {
public:
  explicit attempt_store(QObject* parent) : QObject(parent) {}

  // Called for an attempt that has not ended when its resume window has passed.
  std::function<void(attempt&)> on_resume_expired;

  void set_resume_window(milliseconds window) { resume_window_ = window; }

  attempt& insert(std::unique_ptr<attempt> added);
  attempt* find(const attempt_id& id);
  void erase(const attempt_id& id);

  // Attaches the attempt to link and sends it the head and the response from offset on.
  // For a router attached before over another connection, the attempt ends.
  void attach(attempt& it, router_link& link, std::uint64_t offset);
  // Advances the send window. Ignored if link is not attached to the attempt.
  void acknowledge(attempt& it, const router_link& link, std::uint64_t offset);
  void detach(attempt& it);
  void detach_all(const router_link& link);

  // Sends the head, if it was received, and available data to the attached router.
  void send_head_and_data(attempt& it);
  // Sends available data within the send window, and the end when it is due.
  void send_data(attempt& it);
  // Records the end and sends it: after the complete response for a completed attempt,
  // otherwise immediately.
  void record_end(attempt& it, const outcome& result, const std::string& detail);

  // Drops ended attempts whose resume window has passed, and calls on_resume_expired for
  // others.
  void remove_expired(time_point now);

  // Number of attempts that have not ended or are not fully delivered.
  [[nodiscard]] std::size_t count_undelivered() const;
  [[nodiscard]] std::size_t size() const { return attempts_.size(); }
  // Memory used by all responses, in bytes.
  [[nodiscard]] std::size_t retained_bytes() const;
  // visit may erase attempts.
  void for_each(const std::function<void(attempt&)>& visit);

private:
  void evict_over_limit();

  milliseconds resume_window_{10'000};
  std::unordered_map<attempt_id, std::unique_ptr<attempt>, attempt_id_hash> attempts_;
};

} // namespace marigoldstep::agent
