#ifndef VERBENALEAD_DAEMON_TARGET_DIRECTORY_H_
#define VERBENALEAD_DAEMON_TARGET_DIRECTORY_H_

#include <map>
#include <string>

#include "daemon/config_follower.h"
#include "daemon/host_directory.h"
#include "daemon/pool_routers.h"
#include "wire/client.h"

namespace verbenalead::daemon {

/// Keeps the entry's view of targets fresh: asks each how it is, and hands the
/// reports to the routers.
class TargetDirectory {
 public:
  TargetDirectory(PoolRouters& routers,
                  wire::Client& peers,
                  HostDirectory& hosts,
                  ConfigFollower& config,
                  Duration poll)
      : m_routers(routers),
        m_peers(peers),
        m_hosts(hosts),
        m_config(config),
        m_poll(poll) {}

  /// Runs until the process ends.
  Awaitable<void> Run();

 private:
  Awaitable<void> AskTarget(model::Host host);

  PoolRouters& m_routers;
  wire::Client& m_peers;
  HostDirectory& m_hosts;
  ConfigFollower& m_config;
  const Duration m_poll;
  /// Targets whose answer is awaited. Of the thread that runs Run().
  std::map<std::string, bool> m_asking;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_TARGET_DIRECTORY_H_
