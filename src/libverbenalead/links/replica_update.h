#ifndef VERBENALEAD_LINKS_REPLICA_UPDATE_H_
#define VERBENALEAD_LINKS_REPLICA_UPDATE_H_

#include <cstdint>
#include <string>

#include "links/replica_calls.h"
#include "links/statement_report.h"

namespace verbenalead::links {

/// Paces in messages, in percent; 100 is the usual speed.
constexpr uint32_t kUsualPacePercent = 100;
constexpr uint32_t kMaxPacePercent = 10'000;

/// State of a replica, sent by the target process on its host to one entry.
struct ReplicaUpdate {
  std::string m_replica;
  std::string m_service;
  /// Version of the weights that the replica has loaded; 0: none.
  uint64_t m_version = 0;
  /// The replica is about to load weights. Long calls should go to another
  /// replica, because a load aborts the calls that still run.
  bool m_closing = false;
  /// The replica accepts no calls, because it is loading weights or its
  /// scheduled time to load them has come.
  bool m_loading = false;
  /// Calls of all other entries at the replica.
  ReplicaCalls m_other_entries_calls;
  /// Calls queued at the target process for a slot.
  uint32_t m_queued_calls = 0;
  /// How many times slower than usual the replica works, in percent.
  uint32_t m_pace_percent = kUsualPacePercent;
  /// What the target process knows of the replica's statements.
  StatementReport m_statements;
  /// In the answer to a slot request for which the rate limit had no token:
  /// time after which the entry may ask again.
  Duration m_rate_hold_off{};

  friend bool operator==(const ReplicaUpdate&, const ReplicaUpdate&) = default;
};

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_REPLICA_UPDATE_H_
