#ifndef VERBENALEAD_DAEMON_CONFIG_FOLLOWER_H_
#define VERBENALEAD_DAEMON_CONFIG_FOLLOWER_H_

#include <atomic>
#include <string>
#include <vector>

#include "daemon/config_keeper.h"
#include "daemon/host_directory.h"
#include "wire/client.h"

namespace verbenalead::daemon {

/// Keeps a process's configuration at the newest revision: learns it at the
/// start from the table or several peers, then hears changes along the tree of
/// streams. May be used from several threads.
class ConfigFollower {
 public:
  /// `role` is that of this process; entries have `config` over the table,
  /// which is asked each `poll` where it is this entry's turn.
  ConfigFollower(std::string self,
                 model::HostRole role,
                 ConfigKeeper& config,
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

  /// Whether new work may be taken: the newest configuration was learned, and
  /// the table or a peer was heard not long ago.
  bool ready() const;

  /// A peer that stands at `revision` has answered.
  void HeardFrom(uint64_t revision);

  /// Hands `revision` to other entries. Returns how many are known to hold it,
  /// which ends the wait as soon as two do.
  Awaitable<size_t> Replicate(uint64_t revision);
  /// Other entries that the host list shows.
  size_t OtherEntries() const;

 private:
  std::vector<std::string> Ranked() const;
  Endpoint AddressOf(const std::string& entry) const;
  Awaitable<bool> Learn();
  Awaitable<size_t> LearnFromPeers();
  Awaitable<void> Listen(size_t slot);
  Awaitable<void> ReadTable();
  Awaitable<void> CatchUpWhenBehind();

  const std::string m_self;
  const model::HostRole m_role;
  ConfigKeeper& m_config;
  HostDirectory& m_hosts;
  wire::Client& m_peers;
  const Duration m_poll;
  std::atomic<bool> m_learned{false};
  /// When any process was last heard, and when one gave configuration.
  std::atomic<TimePoint::rep> m_heard_at{0};
  std::atomic<TimePoint::rep> m_fetched_at{0};
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_CONFIG_FOLLOWER_H_
