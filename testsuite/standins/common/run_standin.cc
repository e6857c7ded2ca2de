#include "standins/common/run_standin.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>

#include "base/io_threads.h"
#include "base/log.h"
#include "daemon/program.h"
#include "http/server.h"

namespace verbenalead::standins {
namespace {

constexpr uint64_t kMaxBody = uint64_t{256} << 20;

int Serve(const Settings& settings, const MakeHandler& make_handler) {
  IoThreads threads(1);
  auto faults = std::make_shared<Faults>();
  http::ServerLimits limits;
  limits.m_max_body = kMaxBody;
  http::Server server(threads, limits,
                      WithFaults(faults, make_handler(settings, faults)));
  auto bound = server.Listen(settings.Address("listen"));
  if (!bound) {
    LogLine("start_failed").With(bound.error()).Error();
    return 1;
  }
  boost::asio::signal_set signals(threads.main(), SIGTERM, SIGINT);
  signals.async_wait(
      [&](const boost::system::error_code&, int) { threads.Stop(); });
  threads.Run();
  return 0;
}

}  // namespace

SettingsSchema StandinSettings() {
  return SettingsSchema()
      .Address("listen", "127.0.0.1:8100", "where it listens")
      .Choice("log.level", {"info", "debug", "warn", "error"},
              "lowest level that is logged");
}

int RunStandin(int argc,
               char** argv,
               const std::string& name,
               const std::string& purpose,
               const SettingsSchema& schema,
               const MakeHandler& make_handler) {
  return daemon::RunProgram(
      argc, argv, name, purpose, schema,
      [&](const Settings& settings) { return Serve(settings, make_handler); });
}

}  // namespace verbenalead::standins
