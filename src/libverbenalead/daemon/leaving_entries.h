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

/// The entries that have said that they stop. The list of hosts learns it
/// late, and until then callers would be sent to them. May be used from several
/// threads.
class LeavingEntries {
 public:
  void Add(const std::string& host);
  /// A notice holds for a while only: the host may have been started again.
  bool Contains(const std::string& host) const;

 private:
  mutable std::mutex m_mutex;
  std::map<std::string, TimePoint> m_since;
};

/// `handler`, and before it POST /v1/leaving, by which an entry says that it
/// stops.
wire::Handler TakeLeavingNotices(LeavingEntries& leaving,
                                 wire::Handler handler);

/// Tells `entries` that `host` stops. One that can't be reached is passed over:
/// it learns it from the list of hosts.
Awaitable<void> TellLeaving(wire::Client& peers,
                            std::string host,
                            std::vector<model::Host> entries);

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_LEAVING_ENTRIES_H_
