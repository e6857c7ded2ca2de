#ifndef VERBENALEAD_DAEMON_TARGET_DIRECTORY_H_
#define VERBENALEAD_DAEMON_TARGET_DIRECTORY_H_

#include <map>
#include <string>
#include <vector>

#include "daemon/config_follower.h"
#include "daemon/host_directory.h"
#include "daemon/pool_routers.h"
#include "decide/members.h"
#include "model/target_report.h"
#include "wire/client.h"

namespace verbenalead::daemon {

/// Keeps the entry's view of targets fresh: asks those that it watches how they
/// are, and hands the reports to the routers. A target holds its answer back
/// while nothing changes.
class TargetDirectory {
 public:
  TargetDirectory(PoolRouters& routers,
                  wire::Client& peers,
                  HostDirectory& hosts,
                  ConfigFollower& config,
                  std::string self,
                  std::string region,
                  Duration poll)
      : m_routers(routers),
        m_peers(peers),
        m_hosts(hosts),
        m_config(config),
        m_poll(poll) {
    m_members.m_self = std::move(self);
    m_members.m_region = std::move(region);
  }

  /// Runs until the process ends.
  Awaitable<void> Run();

 private:
  /// What was last heard of a target.
  struct Known {
    bool m_asking = false;
    model::TargetReport m_report;
    /// The target's mark of that report, to ask for what differs from it.
    std::string m_seen;
  };

  Awaitable<void> AskTarget(model::Host host);
  void TakeReport(const model::Host& host, const wire::Response& response);
  void MarkLeaving(const model::Host& host);

  PoolRouters& m_routers;
  wire::Client& m_peers;
  HostDirectory& m_hosts;
  ConfigFollower& m_config;
  const Duration m_poll;
  // Of the thread that runs Run().
  decide::MembersState m_members;
  std::vector<model::Host> m_listed;
  std::map<std::string, Known> m_known;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_TARGET_DIRECTORY_H_
