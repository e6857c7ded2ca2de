#include "daemon/target_settings.h"

namespace verbenalead::daemon {

SettingsSchema TargetSettings() {
  return SettingsSchema()
      .RequiredText("host", "name of this host, as in the host list")
      .RequiredText("pool", "pool of replicas that this host belongs to")
      .Text("region", "", "region of this host")
      .Text("data_center", "", "data centre of this host")
      .Choice("log.level", {"info", "debug", "warn", "error"}, "least level")
      .Integer("threads", 1, 1, 64, "threads", "threads that serve requests")
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
      .Text("peers.key_file", "",
            "file with the key that our processes share; empty: orders are "
            "not checked")
      .Integer("journal.requests", 5000, 100, 10000000, "requests",
               "requests whose trace is kept in memory")
      .Address("platform.table", "127.0.0.1:8100", "table service")
      .Text("platform.table_name", "verbenalead", "name of the table")
      .Text("platform.credentials_file", "",
            "JSON file with access_key, secret and region; empty: requests to "
            "the platform are not signed")
      .Integer("platform.table_timeout", 1000, 10, 60000, "ms",
               "longest wait for one answer of the table")
      .Address("platform.origin", "127.0.0.1:8101", "origin of weights")
      .Integer("platform.origin_timeout", 30000, 100, 3600000, "ms",
               "longest wait for one draw from the origin")
      .Address("platform.host_list", "127.0.0.1:8102", "list of hosts")
      .Integer("config.poll", 200, 20, 60000, "ms",
               "how often an entry is asked for changes")
      .Integer("stop.grace", 30000, 0, 3600000, "ms",
               "longest time that a stop waits for running requests")
      .Integer("stop.notice", 2000, 0, 60000, "ms",
               "time for entries to learn that this host leaves");
}

}  // namespace verbenalead::daemon
