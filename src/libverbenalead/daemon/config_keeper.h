#ifndef VERBENALEAD_DAEMON_CONFIG_KEEPER_H_
#define VERBENALEAD_DAEMON_CONFIG_KEEPER_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "decide/config.h"
#include "model/resource_write.h"
#include "platform/table.h"

namespace verbenalead::daemon {

/// The configuration in force in this process, and the way to change it: by
/// transactions on the platform's table, which mint one sequence of revisions.
/// May be used from several threads.
class ConfigKeeper {
 public:
  using State = std::shared_ptr<const decide::ConfigState>;

  /// `table` may be null in a process that only hears changes from peers.
  explicit ConfigKeeper(platform::Table* table);

  State current() const;
  /// Puts `changes` into force as far as they follow on without a gap.
  void Offer(const std::vector<model::Change>& changes);
  /// Takes over a whole state if it is newer than ours.
  void OfferState(decide::ConfigState state);
  /// The changes after `revision`; nullopt if they are no longer remembered.
  std::optional<std::vector<model::Change>> ChangesAfter(
      uint64_t revision) const;

  /// Reads what is new from the table.
  Awaitable<AsyncResult<bool>> CatchUp();
  /// Commits `write`. kConflict: somebody else's write came first (the reason
  /// names it). kTimeout: unknown; ask again with the same operation id.
  Awaitable<AsyncResult<model::Change>> Commit(model::ResourceWrite write);

 private:
  Awaitable<AsyncResult<std::optional<model::Change>>> FindOperation(
      std::string operation);

  platform::Table* const m_table;
  mutable std::mutex m_mutex;
  State m_state;
  std::deque<model::Change> m_recent;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_CONFIG_KEEPER_H_
