#include "daemon/target_settings.h"

#include "daemon/common_settings.h"

namespace verbenalead::daemon {

SettingsSchema TargetSettings() {
  return CommonSettings(1, 5000)
      .RequiredText("pool", "pool of replicas that this host belongs to")
      .Address("listen.peers", "127.0.0.1:8200", "our other processes")
      .Address("listen.weights", "127.0.0.1:8201",
               "loopback address where the engine reads weights")
      .Choice("backend.kind", {"engine", "service"},
              "what stands beside this process")
      .Address("backend.address", "127.0.0.1:8300", "the engine or service")
      .Integer("backend.capacity", 8, 1, 100000, "requests",
               "requests that the backend runs at once")
      .Integer("weights.memory", int64_t{4} << 30, 1 << 20, int64_t{1} << 50,
               "bytes", "largest size of all weights held here")
      .Integer("link.upload", 0, 0, int64_t{1} << 40, "bytes/s",
               "rate at which chunks are sent to other hosts; 0: no limit")
      .Integer("link.download", 0, 0, int64_t{1} << 40, "bytes/s",
               "rate at which chunks are taken in; 0: no limit")
      .Choice("transfer.preference", {"time_first", "origin_bytes_first"},
              "which goes first: time until a version is everywhere, or "
              "bytes drawn from the origin")
      .Integer("transfer.origin_budget_percent", 103, 100, 1000, "%",
               "copies that all hosts together may draw from the origin; "
               "what is above 100 is spent by time_first only")
      .Integer("transfer.origin_rate", 0, 0, int64_t{1} << 40, "bytes/s",
               "rate of the origin's link, by which hosts take turns; 0: not "
               "known")
      .Integer("transfer.share_percent", 80, 1, 100, "%",
               "share of link.upload and link.download that chunks may take")
      .Address("platform.origin", "127.0.0.1:8101", "origin of weights")
      .Integer("platform.origin_timeout", 30000, 100, 3600000, "ms",
               "longest wait for one draw from the origin")
      .Integer("config.poll", 200, 20, 60000, "ms",
               "how often an entry is asked for changes")
      .Integer("stop.notice", 2000, 0, 60000, "ms",
               "time for entries to learn that this host leaves");
}

}  // namespace verbenalead::daemon
