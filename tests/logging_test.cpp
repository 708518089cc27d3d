#include "marigoldstep/io/logging.h"

#include <catch2/catch.hpp>

#include <QTemporaryDir>

#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <string>
#include <sys/resource.h>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

using namespace marigoldstep;

namespace {

std::string read_text(const std::string& path) {
  std::ostringstream out;
  out << std::ifstream(path).rdbuf();
  return out.str();
}

// Simulates a full disk: no file can grow during the lifetime of an instance.
class full_disk {
public:
  full_disk() {
    std::signal(SIGXFSZ, SIG_IGN);
    ::getrlimit(RLIMIT_FSIZE, &before_);
    const rlimit no_growth{0, before_.rlim_max};
    ::setrlimit(RLIMIT_FSIZE, &no_growth);
  }
  ~full_disk() { ::setrlimit(RLIMIT_FSIZE, &before_); }

private:
  rlimit before_{};
};

void log_text(const std::string& text) {
  io::log_event(io::log_level::warning, "noted", {{"text", text}});
}

} // namespace

TEST_CASE("logging resumes after the disk was full and reports the lost lines") {
  const QTemporaryDir folder;
  const auto path = folder.filePath("log").toStdString();
  io::start_logging("test", "n", io::log_level::info, path);
  log_text("before");
  {
    const full_disk disk;
    log_text("lost");
    log_text("lost");
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(1100));
  log_text("after");
  const auto text = read_text(path);
  CHECK(text.find("text=before") != std::string::npos);
  CHECK(text.find("text=lost") == std::string::npos);
  CHECK(text.find("text=after") != std::string::npos);
  CHECK(text.find("event=log_lines_dropped count=2") != std::string::npos);
}

TEST_CASE("a reader that stops reading does not block the process") {
  const QTemporaryDir folder;
  const auto path = folder.filePath("pipe").toStdString();
  REQUIRE(::mkfifo(path.c_str(), 0600) == 0);
  const int reader = ::open(path.c_str(), O_RDONLY | O_NONBLOCK);
  REQUIRE(reader >= 0);
  io::start_logging("test", "n", io::log_level::info, path);
  const auto started_at = std::chrono::steady_clock::now();
  // More than the 64 kB that a pipe can buffer.
  for (int i = 0; i < 200; ++i) {
    log_text(std::string(1000, 'x'));
  }
  CHECK(std::chrono::steady_clock::now() - started_at < std::chrono::seconds(1));
  ::close(reader);
}
