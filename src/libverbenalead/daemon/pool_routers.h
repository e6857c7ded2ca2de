#ifndef VERBENALEAD_DAEMON_POOL_ROUTERS_H_
#define VERBENALEAD_DAEMON_POOL_ROUTERS_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "daemon/pool_router.h"

namespace verbenalead::daemon {

/// The routers of all pools. A router is created at the first use of its pool
/// and lives as long as this object, so that references stay valid.
/// Thread-safe.
class PoolRouters {
 public:
  PoolRouter& Get(const std::string& pool) {
    std::lock_guard lock(m_mutex);
    auto& router = m_routers[pool];
    if (!router)
      router = std::make_unique<PoolRouter>(m_entries);
    return *router;
  }

  /// Sets the number of entries that send calls to the same targets.
  void SetEntryCount(size_t entries) {
    {
      std::lock_guard lock(m_mutex);
      m_entries = entries;
    }
    for (PoolRouter* router : All())
      router->SetEntryCount(entries);
  }

  std::vector<PoolRouter*> All() {
    std::lock_guard lock(m_mutex);
    std::vector<PoolRouter*> routers;
    for (auto& [pool, router] : m_routers)
      routers.push_back(router.get());
    return routers;
  }

 private:
  static constexpr size_t kInitialEntries = 8;

  std::mutex m_mutex;
  size_t m_entries = kInitialEntries;
  std::map<std::string, std::unique_ptr<PoolRouter>> m_routers;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_POOL_ROUTERS_H_
