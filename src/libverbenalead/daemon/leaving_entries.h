#ifndef VERBENALEAD_DAEMON_LEAVING_ENTRIES_H_
#define VERBENALEAD_DAEMON_LEAVING_ENTRIES_H_

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "model/host.h"
#include "wire/client.h"
#include "wire/response_writer.h"

namespace verbenalead::daemon {

/// The entries that have announced that they are stopping. The host list shows
/// this only after a delay, during which callers would still be directed to
/// them. May be used from several threads.
class LeavingEntries {
 public:
  void Add(const std::string& host);
  /// Whether `host` has announced its stop recently. An announcement expires,
  /// since the host may have been started again.
  bool Contains(const std::string& host) const;

 private:
  mutable std::mutex m_mutex;
  std::map<std::string, TimePoint> m_announced_at;
};

/// Returns a handler that serves POST /v1/leaving, by which an entry announces
/// that it is stopping, and passes all other requests to `handler`.
wire::Handler WithLeavingNotices(LeavingEntries& leaving,
                                 wire::Handler handler);

/// Notifies `entries` that `host` is stopping. An entry that can't be reached
/// is skipped; it sees the stop in the host list later.
Awaitable<void> NotifyLeaving(wire::Client& peers,
                              std::string host,
                              std::vector<model::Host> entries);

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_LEAVING_ENTRIES_H_
