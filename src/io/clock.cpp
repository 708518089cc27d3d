#include "marigoldstep/io/clock.h"

#include <QRandomGenerator>

namespace marigoldstep::io {

time_point now() {
  const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
  return time_point(std::chrono::duration_cast<milliseconds>(since_start));
}

unix_seconds wall_clock() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<unix_seconds>(
      std::chrono::duration_cast<std::chrono::seconds>(since_epoch).count());
}

incarnation process_incarnation() {
  static const auto value =
      static_cast<incarnation>(std::chrono::duration_cast<std::chrono::microseconds>(
                                   std::chrono::system_clock::now().time_since_epoch())
                                   .count());
  return value;
}

std::mt19937_64& random_engine() {
  static std::mt19937_64 engine(QRandomGenerator::system()->generate64());
  return engine;
}

attempt_id make_attempt_id() {
  auto* source = QRandomGenerator::system();
  return {source->generate64(), source->generate64()};
}

} // namespace marigoldstep::io
