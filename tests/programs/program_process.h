#pragma once

#include <catch2/catch.hpp>

#include "event_loop.h"

#include <QFile>
#include <QProcess>
#include <QTemporaryDir>

#include <string>

// A program of this project as a process of its own.
class program_process {
public:
  // Starts the program with these settings, and waits for the log line with which it has
  // started.
  program_process(const std::string& name, const std::string& settings,
                  const std::string& first_line = "event=started") {
    test_application();
    const auto path = folder_.filePath("settings.yaml");
    QFile file(path);
    REQUIRE(file.open(QIODevice::WriteOnly));
    file.write(QByteArray::fromStdString(settings));
    file.close();
    process_.setProcessChannelMode(QProcess::MergedChannels);
    process_.start(QString::fromStdString(MARIGOLDSTEP_BIN_DIR "/" + name),
                   {"--config", path});
    INFO(settings);
    const bool has_started = wait_for_log(first_line);
    INFO(log());
    REQUIRE(has_started);
  }
  ~program_process() {
    process_.kill();
    process_.waitForFinished();
  }
  program_process(const program_process&) = delete;
  program_process& operator=(const program_process&) = delete;

  bool wait_for_log(const std::string& text) {
    return wait_until([&] { return log().find(text) != std::string::npos; });
  }
  // What the program has written so far.
  const std::string& log() {
    log_ += process_.readAll().toStdString();
    return log_;
  }
  [[nodiscard]] bool is_running() const { return process_.state() == QProcess::Running; }
  [[nodiscard]] qint64 pid() const { return process_.processId(); }

private:
  QTemporaryDir folder_;
  QProcess process_;
  std::string log_;
};
