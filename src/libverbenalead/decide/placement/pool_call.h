#ifndef VERBENALEAD_DECIDE_PLACEMENT_POOL_CALL_H_
#define VERBENALEAD_DECIDE_PLACEMENT_POOL_CALL_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "base/time.h"

namespace verbenalead::decide {

/// Properties of a call that decide when and at which replica it is placed.
struct PoolCall {
  uint64_t m_ticket = 0;
  /// The call can still meet its latency objective. Late calls are queued
  /// behind on-time ones.
  bool m_can_be_on_time = true;
  /// Rank, 0 is the most urgent; absent where all calls of the service have the
  /// same.
  std::optional<int> m_rank;
  /// Absent where organisations have no shares; empty if the call is made for
  /// no organisation.
  std::optional<std::string> m_organisation;
  /// The only data centres whose replicas may get the call; null: all.
  std::shared_ptr<const std::set<std::string>> m_data_centers;
  /// The only replica that may get the call, as a part of its prompt is
  /// suspected to crash replicas; absent: all.
  std::optional<std::string> m_only_replica;
  uint32_t m_prompt_tokens = 0;
  /// Time by which its prompt, and all prompts before it, must have been read
  /// for the call to be on time; TimePoint::max() if unknown.
  TimePoint m_read_deadline = TimePoint::max();
  /// Expected run time; zero if unknown.
  Duration m_expected_run_time{};
  /// Replicas to which the call has already been sent.
  std::set<std::string> m_attempted_replicas;
};

/// Whether the call is refused as soon as its turn can't come in its time.
/// Calls of services without ranks and shares wait until their time is over.
inline bool IsRefusedEarly(const PoolCall& call) {
  return call.m_rank || call.m_organisation;
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_PLACEMENT_POOL_CALL_H_
