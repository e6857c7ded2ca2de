#include <boost/asio/signal_set.hpp>
#include <csignal>

#include "base/io_threads.h"
#include "base/log.h"
#include "daemon/program.h"
#include "http/server.h"
#include "standins/common/faults.h"
#include "standins/relay/relay.h"
#include "wire/listener.h"

namespace {

using namespace verbenalead;

SettingsSchema RelaySettings() {
  return SettingsSchema()
      .Address("listen", "127.0.0.1:8400", "where POST /faults is taken")
      .Address("relay", "127.0.0.1:8401", "where connections are taken")
      .Address("forward", "127.0.0.1:8402", "where they are passed on to")
      .Choice("log.level", {"info", "debug", "warn", "error"},
              "lowest level that is logged");
}

/// Handles the commands {"silent": true}, {"far_silent": true},
/// {"cut": true}, {"held": true} and {"delay_ms": N}.
Awaitable<void> Command(standins::Relay& relay,
                        const wire::Request& request,
                        wire::ResponseWriter& writer) {
  standins::Faults faults;
  const bool good = faults.Set(request.m_body);
  if (good && faults.Flag("silent"))
    relay.SilenceAll();
  if (good && faults.Flag("far_silent"))
    relay.SilenceFarSide();
  if (good && faults.Flag("cut"))
    relay.CloseAll();
  if (good)
    relay.Hold(faults.Flag("held"));
  if (good)
    relay.SetDelay(std::chrono::milliseconds(faults.Number("delay_ms")));
  co_await writer.Send({good ? 200 : 400, {}, ""});
}

int Serve(const Settings& settings) {
  // Commands and connections run on one thread and therefore need no lock.
  IoThreads threads(1);
  standins::Relay relay(settings.Address("forward"));
  http::Server commands(
      threads, http::ServerLimits{},
      [&relay](const wire::Request& request, wire::ResponseWriter& writer) {
        return Command(relay, request, writer);
      });
  wire::Listener listener(threads,
                          [&relay](boost::asio::ip::tcp::socket socket) {
                            relay.Accept(std::move(socket));
                          });
  if (!commands.Listen(settings.Address("listen")) ||
      !listener.Listen(settings.Address("relay"))) {
    LogLine("start_failed").Error();
    return 1;
  }
  boost::asio::signal_set signals(threads.main(), SIGTERM, SIGINT);
  signals.async_wait(
      [&](const boost::system::error_code&, int) { threads.Stop(); });
  threads.Run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  return verbenalead::daemon::RunProgram(
      argc, argv, "standin_relay",
      "Stands between two hosts and loses track of their connections.",
      RelaySettings(), &Serve);
}
