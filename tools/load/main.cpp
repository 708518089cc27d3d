#include "load/runner.h"
#include "marigoldstep/io/program.h"

#include <QCoreApplication>

#include <iostream>

using namespace marigoldstep;

int main(int argc, char** argv) {
  load::load_settings settings;
  const auto options = io::start_program(
      argc, argv, "mstep-load",
      "sends returning chats and service calls and checks "
      "every response byte by byte",
      [&](yaml_mapping& map) { settings = load::parse_load_settings(map); });
  if (options.done) {
    return options.exit_status;
  }
  QCoreApplication app(argc, argv);
  load::runner run(settings, &app);
  run.on_done = [&settings](const load::load_report& report) {
    std::cout << (settings.json ? load::format_json(report) : load::format_table(report))
              << std::flush;
    QCoreApplication::exit(load::has_passed(report) ? io::exit_ok : io::exit_failed);
  };
  io::on_stop_signal([&run] { run.stop_early(); });
  // Deferred to the event loop, so that a run without requests can call exit().
  QMetaObject::invokeMethod(
      &run, [&run] { run.start(); }, Qt::QueuedConnection);
  return QCoreApplication::exec();
}
