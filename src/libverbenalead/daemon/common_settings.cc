#include "daemon/common_settings.h"

namespace verbenalead::daemon {

SettingsSchema CommonSettings(int64_t threads, int64_t journal_requests) {
  return SettingsSchema()
      .RequiredText("host", "name of this host, as in the host list")
      .Text("region", "", "region of this host")
      .Text("data_center", "", "data centre of this host")
      .Choice("log.level", {"info", "debug", "warn", "error"},
              "lowest level that is logged")
      .Integer("threads", threads, 1, 64, "threads",
               "threads that serve requests")
      .Text("peers.key_file", "",
            "file with the key that the daemons share; empty: requests "
            "between daemons are not authenticated")
      .Integer("journal.requests", journal_requests, 100, 10000000, "requests",
               "requests whose trace is kept in memory")
      .Address("platform.table", "127.0.0.1:8100", "table service")
      .Text("platform.table_name", "verbenalead", "name of the table")
      .Text("platform.credentials_file", "",
            "JSON file with access_key, secret and region; empty: requests to "
            "the platform are not signed")
      .Integer("platform.table_timeout", 1000, 10, 60000, "ms",
               "timeout of a request to the table")
      .Address("platform.host_list", "127.0.0.1:8102", "list of hosts")
      .Integer("stop.grace", 30000, 0, 3600000, "ms",
               "longest wait for running requests when the daemon stops");
}

}  // namespace verbenalead::daemon
