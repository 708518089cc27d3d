#pragma once

#include "agent/attempt.h"

#include <QObject>

#include <unordered_map>

namespace marigoldstep::agent {

// All attempts that are known here, and the delivery of their answers to routers.
class attempt_store : public QObject {
public:
  explicit attempt_store(QObject* parent) : QObject(parent) {}

  // An attempt that has not ended was abandoned: its resume window is over.
  std::function<void(attempt&)> on_resume_expired;

  void set_resume_window(duration window) { resume_window_ = window; }

  attempt& insert(std::unique_ptr<attempt> added);
  attempt* find(const attempt_id& id);
  void erase(const attempt_id& id);

  // Sends the head and the answer from offset on to link, and takes it from the
  // router that had it before.
  void attach(attempt& it, router_link& link, std::uint64_t offset);
  void acknowledge(attempt& it, const router_link& link, std::uint64_t offset);
  void detach(attempt& it);
  void detach_all(const router_link& link);

  // Sends the head to the attached router, then what there is of the answer.
  void send_head_and_data(attempt& it);
  // Sends what the window allows.
  void send_data(attempt& it);
  // Records the end and sends it in its turn: after the whole answer for a
  // completed attempt, at once for any other.
  void record_end(attempt& it, const outcome& result, const std::string& detail);

  // Drops or abandons what has expired.
  void remove_expired(time_point now);

  // Attempts that have not been delivered to the end.
  [[nodiscard]] std::size_t count_undelivered() const;
  [[nodiscard]] std::size_t size() const { return attempts_.size(); }
  // Bytes held by all answers.
  [[nodiscard]] std::size_t retained_bytes() const;
  void for_each(const std::function<void(attempt&)>& visit);

private:
  void evict_over_limit();

  duration resume_window_{10'000};
  std::unordered_map<attempt_id, std::unique_ptr<attempt>, attempt_id_hash> attempts_;
};

} // namespace marigoldstep::agent
