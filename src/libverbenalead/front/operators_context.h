#ifndef VERBENALEAD_FRONT_OPERATORS_CONTEXT_H_
#define VERBENALEAD_FRONT_OPERATORS_CONTEXT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/awaitable.h"
#include "base/failure.h"
#include "base/time.h"
#include "decide/config/config.h"
#include "front/committed_change.h"
#include "model/change.h"
#include "model/resource_write.h"
#include "model/target_report.h"

namespace verbenalead::front {

/// Functions of the daemon that the operators' API uses.
struct OperatorsContext {
  std::function<std::shared_ptr<const decide::ConfigState>()> m_config;
  /// Returns the changes after a revision; nullopt if the revision is too old.
  std::function<std::optional<std::vector<model::Change>>(uint64_t)> m_changes;
  /// Commits a write and sends it to the other entries.
  std::function<Awaitable<AsyncResult<CommittedChange>>(model::ResourceWrite)>
      m_commit;
  /// Waits until a revision above the given one is in force, or until the
  /// deadline.
  std::function<Awaitable<void>(uint64_t, TimePoint)> m_wait_for_newer_revision;
  std::function<std::vector<model::TargetReport>()> m_targets;
  /// Returns the lines of a request's trace from all processes, in order.
  std::function<Awaitable<std::vector<std::string>>(std::string)> m_trace;
  /// Orders a target to drain.
  std::function<Awaitable<AsyncResult<bool>>(std::string)> m_drain;
  std::function<std::string()> m_new_id;
  std::string m_host;
};

}  // namespace verbenalead::front

#endif  // VERBENALEAD_FRONT_OPERATORS_CONTEXT_H_
