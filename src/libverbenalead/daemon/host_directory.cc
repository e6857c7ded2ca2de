#include "daemon/host_directory.h"

#include "base/log.h"

namespace verbenalead::daemon {

Awaitable<void> HostDirectory::Refresh() {
  auto hosts = co_await m_list.Get();
  if (!hosts) {
    LogLine("host_list_unavailable").With(hosts.error()).Warn();
    co_return;
  }
  std::lock_guard lock(m_mutex);
  m_hosts = std::move(*hosts);
}

std::vector<model::Host> HostDirectory::All() const {
  std::lock_guard lock(m_mutex);
  return m_hosts;
}

std::vector<model::Host> HostDirectory::Hosts(model::HostRole role) const {
  std::lock_guard lock(m_mutex);
  std::vector<model::Host> hosts;
  for (const model::Host& host : m_hosts) {
    if (host.role() == role)
      hosts.push_back(host);
  }
  return hosts;
}

std::optional<model::Host> HostDirectory::Find(const std::string& name) const {
  std::lock_guard lock(m_mutex);
  for (const model::Host& host : m_hosts) {
    if (host.name() == name)
      return host;
  }
  return std::nullopt;
}

}  // namespace verbenalead::daemon
