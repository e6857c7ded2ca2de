#include "daemon/entry_settings.h"

namespace verbenalead::daemon {

SettingsSchema EntrySettings() {
  return SettingsSchema()
      .RequiredText("host", "name of this host, as in the host list")
      .Text("region", "", "region of this host")
      .Text("data_center", "", "data centre of this host")
      .Choice("log.level", {"info", "debug", "warn", "error"}, "least level")
      .Integer("threads", 2, 1, 64, "threads", "threads that serve requests")
      .Address("listen.callers", "127.0.0.1:8080", "callers' HTTP")
      .Address("listen.operators", "127.0.0.1:8081", "operators' HTTP")
      .Address("listen.peers", "127.0.0.1:8082", "our other processes")
      .Integer("limits.header", 16384, 1024, 1 << 20, "bytes",
               "largest header of a request")
      .Integer("limits.body", 4 << 20, 1024, 16 << 20, "bytes",
               "largest body of a request")
      .Text("operators.token_file", "",
            "file with the operators' tokens; empty: loopback only")
      .Text("tls.certificate_file", "",
            "certificate chain shown to callers and operators; empty: no TLS")
      .Text("tls.key_file", "", "private key of the certificate")
      .Choice("tls.min_version", {"1.2", "1.3"}, "oldest TLS that is spoken")
      .Text("peers.key_file", "",
            "file with the key that our processes share; empty: orders are "
            "not checked")
      .Integer("journal.requests", 20000, 100, 10000000, "requests",
               "requests whose trace is kept in memory")
      .Address("platform.table", "127.0.0.1:8100", "table service")
      .Text("platform.table_name", "verbenalead", "name of the table")
      .Text("platform.credentials_file", "",
            "JSON file with access_key, secret and region; empty: requests to "
            "the platform are not signed")
      .Integer("platform.table_timeout", 1000, 10, 60000, "ms",
               "longest wait for one answer of the table")
      .Address("platform.object_store", "", "object store; empty: none")
      .Text("platform.bucket", "verbenalead", "bucket in the object store")
      .Address("platform.host_list", "127.0.0.1:8102", "list of hosts")
      .Integer("config.poll", 500, 20, 60000, "ms",
               "how often the table is asked for changes")
      .Integer("targets.poll", 250, 20, 10000, "ms",
               "how often each target is asked how it is")
      .Integer("stop.grace", 30000, 0, 3600000, "ms",
               "longest time that a stop waits for running requests");
}

}  // namespace verbenalead::daemon
