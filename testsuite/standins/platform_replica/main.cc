#include <boost/asio/this_coro.hpp>

#include "base/spawn.h"
#include "standins/common/run_standin.h"
#include "standins/platform_replica/replica_handler.h"

namespace {

using namespace verbenalead;

SettingsSchema ReplicaSettings() {
  return standins::StandinSettings()
      .RequiredText("id", "its id in the store")
      .RequiredText("service", "service that it belongs to")
      .Text("model", "", "model that it runs; empty: a plain service")
      .Text("data_center", "a", "its data centre")
      .Text("announce", "",
            "address that it registers; empty: where it listens")
      .Address("store", "127.0.0.1:8100", "the platform's store")
      .Integer("slots", 8, 1, 1000, "calls", "calls at once")
      .Integer("event", 10, 1, 10000, "ms", "time between events")
      .Integer("pace", 0, 0, 10000, "%",
               "how many times slower than usual its report says that it is, "
               "which doesn't slow it; 0: it doesn't say")
      .Integer("work", 0, 0, 10000, "ms", "time that a plain call takes")
      .Integer("prefill", 0, 0, 10000, "ms", "time before a stream's head")
      .Text("crash_part", "",
            "id of a prompt's part; a stream that has it, not as the last one, "
            "ends the process after its head")
      .Integer("load", 50, 0, 10000, "ms", "time that a load takes")
      .Text("rate_limit", "",
            "requests a second that its answers name as its limit; empty: none")
      .Integer("cold", 0, 0, 600000, "ms", "time for which it starts cold")
      .Integer("cold_calls", 0, 0, 100000, "calls",
               "calls in a second above which it crashes while cold; 0: none")
      .Integer("version", 0, 0, 1000000, "",
               "version that it has loaded at its start; 0: none");
}

/// Creates the handler, which starts the registration of the replica at the
/// first request. Tests send a request anyway to wait until the replica
/// listens.
wire::Handler MakeHandler(const Settings& settings) {
  auto replica = std::make_shared<standins::Replica>(settings);
  replica->m_version = static_cast<uint64_t>(settings.Integer("version"));
  auto registered = std::make_shared<bool>(false);
  const wire::Handler handler = standins::MakeReplicaHandler(replica);
  return [replica, registered, handler](
             const wire::Request& request,
             wire::ResponseWriter& writer) -> Awaitable<void> {
    const auto executor = co_await boost::asio::this_coro::executor;
    if (!*registered) {
      *registered = true;
      Spawn(executor, standins::RegisterPeriodically(replica), "register");
    }
    co_await handler(request, writer);
  };
}

}  // namespace

int main(int argc, char** argv) {
  return standins::RunStandin(
      argc, argv, "standin_platform_replica",
      "Stands in for a replica of the users' platform.", ReplicaSettings(),
      [](const Settings& settings, std::shared_ptr<standins::Faults>) {
        return MakeHandler(settings);
      });
}
