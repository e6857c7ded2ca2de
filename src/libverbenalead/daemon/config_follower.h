#ifndef VERBENALEAD_DAEMON_CONFIG_FOLLOWER_H_
#define VERBENALEAD_DAEMON_CONFIG_FOLLOWER_H_

#include <atomic>
#include <string>
#include <vector>

#include "daemon/config_store.h"
#include "daemon/host_directory.h"
#include "wire/client.h"

namespace verbenalead::daemon {

/// Keeps the configuration of a process at the newest revision. At start the
/// configuration is fetched from the table or from several peers; afterwards
/// changes arrive from parents in a tree of entries, by long polling. Without
/// it a process would serve versions that have been replaced. May be used from
/// several threads.
class ConfigFollower {
 public:
  /// `role` is the role of this process. In an entry `config` has access to
  /// the table, and an entry that ranks as a table reader reads the table every
  /// `poll`.
  ConfigFollower(std::string self,
                 model::HostRole role,
                 ConfigStore& config,
                 HostDirectory& hosts,
                 wire::Client& peers,
                 Duration poll)
      : m_self(std::move(self)),
        m_role(role),
        m_config(config),
        m_hosts(hosts),
        m_peers(peers),
        m_poll(poll) {}

  /// Runs until the process ends.
  Awaitable<void> Run();

  /// Whether the process may accept new work: the newest configuration was
  /// fetched at start, and the table or a peer has answered recently.
  bool ready() const;

  /// Records that a peer which has `revision` in force has answered.
  void RecordContact(uint64_t revision);

  /// Sends the changes up to `revision` to other entries. Returns how many have
  /// confirmed that they hold it; does not wait for more than two.
  Awaitable<size_t> Replicate(uint64_t revision);
  /// Number of entries in the host list, without this process.
  size_t OtherEntries() const;

 private:
  std::vector<std::string> RankedEntries() const;
  Endpoint AddressOf(const std::string& entry) const;
  Awaitable<bool> Initialise();
  Awaitable<size_t> FetchInitialConfig();
  Awaitable<void> FollowParent(size_t slot);
  Awaitable<void> PollTable();
  Awaitable<void> CatchUpWhenBehind();

  const std::string m_self;
  const model::HostRole m_role;
  ConfigStore& m_config;
  HostDirectory& m_hosts;
  wire::Client& m_peers;
  const Duration m_poll;
  std::atomic<bool> m_initialised{false};
  /// Time of the last answer from the table or any peer, and of the last answer
  /// from a parent in the configuration tree.
  std::atomic<TimePoint::rep> m_last_seen_at{0};
  std::atomic<TimePoint::rep> m_last_parent_answer_at{0};
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_CONFIG_FOLLOWER_H_
