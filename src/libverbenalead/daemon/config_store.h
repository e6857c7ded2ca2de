#ifndef VERBENALEAD_DAEMON_CONFIG_STORE_H_
#define VERBENALEAD_DAEMON_CONFIG_STORE_H_

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
#include "decide/config/config.h"
#include "model/resource_write.h"

namespace verbenalead::daemon {

/// Holds the configuration in force in this process and commits changes to it.
/// A change is a transaction on the platform's table that takes the next
/// revision. So all processes see one sequence of revisions, and a write that
/// names the revision it expects can't overwrite another write. May be used
/// from several threads.
class ConfigStore {
 public:
  using State = std::shared_ptr<const decide::ConfigState>;
  using Pause = std::function<Awaitable<void>(Duration)>;

  /// `table` may be null in a process that receives changes from peers only.
  explicit ConfigStore(backends::Table* table);
  /// For tests: `pause` replaces the wait between two attempts.
  ConfigStore(backends::Table* table, Pause pause);
  ~ConfigStore();

  State current() const;
  /// Applies those of `changes` that follow the revision in force without a
  /// gap; changes that are already in force are skipped.
  void ApplyChanges(const std::vector<model::Change>& changes);
  /// Replaces the state in force by `state` if `state` is newer.
  void ApplyState(decide::ConfigState state);
  /// Returns the changes after `revision`, or nullopt if some of them are no
  /// longer in memory.
  std::optional<std::vector<model::Change>> ChangesAfter(
      uint64_t revision) const;
  /// Waits until a revision above `revision` is in force, or until `deadline`.
  Awaitable<void> WaitForRevisionAfter(uint64_t revision, TimePoint deadline);

  /// Records that another process has `revision` in force. While
  /// observed_revision() is above the revision in force here, this process is
  /// behind.
  void RecordObservedRevision(uint64_t revision);
  uint64_t observed_revision() const;

  /// Time at which CatchUp() last reached the end of the log.
  TimePoint last_read_at() const;
  /// Reads the changes after the revision in force from the table and applies
  /// them.
  Awaitable<AsyncResult<bool>> CatchUp();
  /// Writes a snapshot of the state in force to the table if it is
  /// `kSnapshotInterval` or more revisions past the last snapshot known to this
  /// process. The write is unconditional: if it replaces a newer snapshot by an
  /// older one, a starting process only has to read more changes.
  Awaitable<AsyncResult<bool>> WriteSnapshot();
  static constexpr uint64_t kSnapshotInterval = 500;

  /// Commits `write`. Failures:
  /// kConflict: another write was committed first; the reason names it.
  /// kInvalid: a reference is wrong, or the operation id was used for a
  /// different write.
  /// kTimeout: the outcome is unknown; retry with the same operation id.
  /// Any other failure: the write has not taken effect and never will.
  Awaitable<AsyncResult<model::Change>> Commit(model::ResourceWrite write);

 private:
  struct Waiter;

  Awaitable<AsyncResult<bool>> ReadSnapshot();

  Awaitable<AsyncResult<std::optional<model::Change>>> FindOperation(
      std::string operation);
  AsyncResult<bool> CheckExpected(const decide::ConfigState& state,
                                  const model::ResourceWrite& write) const;
  std::string DescribeWinner(const decide::ConfigState& state,
                             const model::ResourceKey& key) const;
  /// Resumes all coroutines in WaitForRevisionAfter(). The caller must hold
  /// m_mutex.
  void WakeAll();

  backends::Table* const m_table;
  const Pause m_pause;
  mutable std::mutex m_mutex;
  State m_state;
  uint64_t m_observed_revision = 0;
  uint64_t m_snapshot_revision = 0;
  TimePoint m_last_read_at{};
  std::deque<model::Change> m_recent_changes;
  std::vector<std::shared_ptr<Waiter>> m_waiters;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_CONFIG_STORE_H_
