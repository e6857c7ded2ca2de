#include "daemon/target_settings.h"

#include "daemon/common_settings.h"

namespace verbenalead::daemon {

SettingsSchema TargetSettings() {
  return CommonSettings(1, 5000)
      .RequiredText("pool", "pool of replicas that this host belongs to")
      .Address("listen.peers", "127.0.0.1:8200",
               "address for entries, other targets and tools")
      .Address("listen.weights", "127.0.0.1:8201",
               "loopback address where the engine reads weights")
      .Choice("backend.kind", {"engine", "service"},
              "kind of backend on this host")
      .Address("backend.address", "127.0.0.1:8300", "address of the backend")
      .Integer("backend.capacity", 8, 1, 100000, "requests",
               "number of requests that the backend runs concurrently")
      .Integer("weights.memory", int64_t{4} << 30, 1 << 20, int64_t{1} << 50,
               "bytes", "maximum total size of weights held in memory")
      .Integer("link.upload", 0, 0, int64_t{1} << 40, "bytes/s",
               "maximum rate of sending chunks to other hosts; 0: no limit")
      .Integer("link.download", 0, 0, int64_t{1} << 40, "bytes/s",
               "maximum rate of receiving chunks; 0: no limit")
      .Choice("transfer.preference", {"time_first", "origin_bytes_first"},
              "what transfers minimise first: time until all hosts hold a "
              "version, or bytes fetched from the origin")
      .Integer("transfer.origin_budget_percent", 103, 100, 1000, "%",
               "copies that all hosts together may fetch from the origin; "
               "only time_first uses more than 100")
      .Integer("transfer.origin_rate", 0, 0, int64_t{1} << 40, "bytes/s",
               "rate of the origin's link, used to schedule fetches of the "
               "hosts; 0: not known")
      .Integer("transfer.share_percent", 80, 1, 100, "%",
               "share of link.upload and link.download that chunks may use")
      .Address("platform.origin", "127.0.0.1:8101", "origin of weights")
      .Integer("platform.origin_timeout", 30000, 100, 3600000, "ms",
               "timeout of one fetch from the origin")
      .Integer("config.poll", 200, 20, 60000, "ms",
               "interval of requests to an entry for changes")
      .Integer("stop.notice", 2000, 0, 60000, "ms",
               "time for entries to learn that this host is leaving");
}

}  // namespace verbenalead::daemon
