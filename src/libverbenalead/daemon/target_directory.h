#ifndef VERBENALEAD_DAEMON_TARGET_DIRECTORY_H_
#define VERBENALEAD_DAEMON_TARGET_DIRECTORY_H_

#include <map>
#include <string>
#include <vector>

#include "daemon/config_follower.h"
#include "daemon/host_directory.h"
#include "daemon/pool_routers.h"
#include "decide/membership/target_watch.h"
#include "model/target_report.h"
#include "wire/client.h"

namespace verbenalead::daemon {

/// Keeps the view that this entry has of the targets current: polls the status
/// of the targets that the entry watches and passes their reports to the
/// routers, which select targets by them. A target delays its answer while its
/// report doesn't change (long polling).
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
  /// The last report of a target.
  struct WatchedTarget {
    /// Whether a status request to the target is in progress.
    bool m_request_pending = false;
    model::TargetReport m_report;
    /// The mark by which the target identifies that report; sent with the next
    /// status request, so that the target answers when its report differs.
    std::string m_report_mark;
  };

  Awaitable<void> RequestReport(model::Host host);
  void HandleReport(const model::Host& host, const wire::Response& response);
  void MarkLeaving(const model::Host& host);

  PoolRouters& m_routers;
  wire::Client& m_peers;
  HostDirectory& m_hosts;
  ConfigFollower& m_config;
  const Duration m_poll;
  // Used only by the thread that runs Run().
  decide::TargetWatchState m_members;
  std::vector<model::Host> m_listed_hosts;
  std::map<std::string, WatchedTarget> m_watched;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_TARGET_DIRECTORY_H_
