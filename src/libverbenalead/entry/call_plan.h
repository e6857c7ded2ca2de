#ifndef VERBENALEAD_ENTRY_CALL_PLAN_H_
#define VERBENALEAD_ENTRY_CALL_PLAN_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "decide/admission/call_policy.h"
#include "model/inbound_call.h"
#include "model/route.h"

namespace verbenalead::entry {

/// Everything that is decided about a call when it is admitted: route, service,
/// wait limit and deadline. It is a copy, so a configuration that arrives while
/// the call runs doesn't affect it.
struct CallPlan {
  model::InboundCall m_call;
  model::Route m_route;
  std::string m_service;
  /// Model that the service's engines run; empty: the replicas aren't engines.
  std::string m_model;
  std::string m_organisation;
  /// The only data centres whose replicas may get the call; null: all.
  std::shared_ptr<const std::set<std::string>> m_data_centers;
  /// 0 is the most urgent of the service's m_rank_count ranks; absent if all
  /// calls of the service have the same.
  std::optional<int> m_rank;
  size_t m_rank_count = 0;
  uint64_t m_config_version = 0;
  /// Identifies equal requests, so that one that crashes replicas is recognised
  /// when a caller retries it.
  uint64_t m_fingerprint = 0;
  /// Keys of the parts of its prompt that other requests may share.
  std::vector<uint64_t> m_parts;
  decide::WaitLimit m_wait_limit;
  /// Least time for which the caller had already been attempting the call when
  /// it arrived, estimated from the time that the caller states is left.
  Duration m_caller_elapsed{};
  /// Expected run time at a replica; zero: not known.
  Duration m_expected_run_time{};
  TimePoint m_started_at{};
  /// The earlier of the caller's deadline and the time limit of the route.
  TimePoint m_deadline{};
};

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_CALL_PLAN_H_
