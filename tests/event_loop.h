#pragma once

#include <QCoreApplication>
#include <QElapsedTimer>

#include <chrono>
#include <functional>

// Runs Qt's event loop in a test.

inline QCoreApplication& test_application() {
  static int argc = 1;
  static char name[] = "test";
  static char* argv[] = {name, nullptr};
  static QCoreApplication app(argc, argv);
  return app;
}

// Runs the event loop until the condition holds. Returns false on timeout.
inline bool wait_until(const std::function<bool()>& condition,
                       std::chrono::milliseconds timeout = std::chrono::seconds(10)) {
  test_application();
  QElapsedTimer timer;
  timer.start();
  while (!condition()) {
    if (timer.elapsed() > timeout.count()) {
      return false;
    }
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 10);
    QCoreApplication::sendPostedEvents(nullptr, QEvent::DeferredDelete);
  }
  return true;
}

inline void run_event_loop(std::chrono::milliseconds time) {
  QElapsedTimer timer;
  timer.start();
  wait_until([&] { return timer.elapsed() >= time.count(); }, 2 * time);
}
