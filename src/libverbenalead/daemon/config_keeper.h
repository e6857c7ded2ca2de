#ifndef VERBENALEAD_DAEMON_CONFIG_KEEPER_H_
#define VERBENALEAD_DAEMON_CONFIG_KEEPER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "backends/table.h"
#include "base/time.h"
#include "decide/config.h"
#include "model/resource_write.h"

namespace verbenalead::daemon {

/// The configuration in force in this process, and the way to change it: by
/// transactions on the platform's table, which mint one sequence of revisions.
/// May be used from several threads.
class ConfigKeeper {
 public:
  using State = std::shared_ptr<const decide::ConfigState>;
  using Pause = std::function<Awaitable<void>(Duration)>;

  /// `table` may be null in a process that only hears changes from peers.
  explicit ConfigKeeper(backends::Table* table);
  /// For tests: `pause` stands in for the wait between two tries.
  ConfigKeeper(backends::Table* table, Pause pause);
  ~ConfigKeeper();

  State current() const;
  /// Puts `changes` into force as far as they follow on without a gap.
  void Offer(const std::vector<model::Change>& changes);
  /// Takes over a whole state if it is newer than ours.
  void OfferState(decide::ConfigState state);
  /// The changes after `revision`; nullopt if they are no longer remembered.
  std::optional<std::vector<model::Change>> ChangesAfter(
      uint64_t revision) const;
  /// Waits until a revision above `revision` is in force, or `deadline`.
  Awaitable<void> WaitBeyond(uint64_t revision, TimePoint deadline);

  /// Notes that somebody has `revision` in force, so that this process knows
  /// that it is behind.
  void Hear(uint64_t revision);
  uint64_t heard() const;

  /// When CatchUp last reached the end of the log.
  TimePoint read_at() const;
  /// Reads what is new from the table.
  Awaitable<AsyncResult<bool>> CatchUp();
  /// Writes the state in force to the table once it is `kSnapshotEvery` or more
  /// revisions past the last one this process knows of. Unconditional: an older
  /// snapshot than the one it replaces costs a starting process some more
  /// reading, and nothing else.
  Awaitable<AsyncResult<bool>> WriteSnapshot();
  static constexpr uint64_t kSnapshotEvery = 500;

  /// Commits `write`.
  /// kConflict: somebody else's write came first (the reason names it).
  /// kInvalid: a reference is wrong, or the operation id named another write.
  /// kTimeout: unknown; ask again with the same operation id.
  /// Any other failure: the write has not taken effect and never will.
  Awaitable<AsyncResult<model::Change>> Commit(model::ResourceWrite write);

 private:
  struct Waiter;

  Awaitable<AsyncResult<bool>> ReadSnapshot();

  Awaitable<AsyncResult<std::optional<model::Change>>> FindOperation(
      std::string operation);
  AsyncResult<bool> CheckExpected(const decide::ConfigState& state,
                                  const model::ResourceWrite& write) const;
  std::string WinnerOf(const decide::ConfigState& state,
                       const model::ResourceKey& key) const;
  /// Wakes those who wait. Called under the lock.
  void WakeAll();

  backends::Table* const m_table;
  const Pause m_pause;
  mutable std::mutex m_mutex;
  State m_state;
  uint64_t m_heard = 0;
  uint64_t m_snapshot = 0;
  TimePoint m_read_at{};
  std::deque<model::Change> m_recent;
  std::vector<std::shared_ptr<Waiter>> m_waiters;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_CONFIG_KEEPER_H_
