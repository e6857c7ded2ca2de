#include "daemon/entry_settings.h"

#include "daemon/common_settings.h"

namespace verbenalead::daemon {

SettingsSchema EntrySettings() {
  return CommonSettings(2, 20000)
      .Address("listen.callers", "127.0.0.1:8080",
               "address of the HTTP API of callers")
      .Address("listen.operators", "127.0.0.1:8081",
               "address of the HTTP API of operators")
      .Address("listen.peers", "127.0.0.1:8082",
               "address of the API of the other daemons")
      .Integer("limits.header", 16384, 1024, 1 << 20, "bytes",
               "largest header of a request")
      .Integer("limits.body", 4 << 20, 1024, 16 << 20, "bytes",
               "largest body of a request")
      .Text("operators.token_file", "",
            "file with the operators' tokens; empty: loopback only")
      .Text("tls.certificate_file", "",
            "certificate chain shown to callers and operators; empty: no TLS")
      .Text("tls.key_file", "", "private key of the certificate")
      .Choice("tls.min_version", {"1.2", "1.3"},
              "lowest TLS version that is accepted")
      .Address("platform.object_store", "", "object store; empty: none")
      .Text("platform.bucket", "verbenalead", "bucket in the object store")
      .Integer("config.poll", 500, 20, 60000, "ms",
               "interval between reads of changes from the table")
      .Integer("targets.poll", 250, 20, 10000, "ms",
               "interval between status requests to each target");
}

}  // namespace verbenalead::daemon
