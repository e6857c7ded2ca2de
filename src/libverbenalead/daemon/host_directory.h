#ifndef VERBENALEAD_DAEMON_HOST_DIRECTORY_H_
#define VERBENALEAD_DAEMON_HOST_DIRECTORY_H_

#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "backends/host_list.h"
#include "model/host.h"

namespace verbenalead::daemon {

/// The hosts of the platform's host list as last read. The list may lag behind
/// the hosts that really run, so it is only a hint. While it can't be read, the
/// result of the last successful read stays in use. May be used from several
/// threads.
class HostDirectory {
 public:
  explicit HostDirectory(backends::HostList& list) : m_list(list) {}

  Awaitable<void> Refresh();

  std::vector<model::Host> All() const;
  std::vector<model::Host> Hosts(model::HostRole role) const;
  std::optional<model::Host> Find(const std::string& name) const;

 private:
  backends::HostList& m_list;
  mutable std::mutex m_mutex;
  std::vector<model::Host> m_hosts;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_HOST_DIRECTORY_H_
