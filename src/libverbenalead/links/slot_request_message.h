#ifndef VERBENALEAD_LINKS_SLOT_REQUEST_MESSAGE_H_
#define VERBENALEAD_LINKS_SLOT_REQUEST_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/time.h"
#include "links/replica_calls.h"
#include "links/statement_report.h"

namespace verbenalead::links {

/// Request of an entry to a target process for a slot (capacity for one call)
/// at its replica. Only the target process counts the calls of all entries;
/// entries that relied on their own, slightly old counts would send their calls
/// to the same replica at the same time.
struct SlotRequestMessage {
  std::string m_replica;
  uint64_t m_ticket = 0;
  uint32_t m_prompt_tokens = 0;
  /// The call can still meet its latency objective, provided that the replica
  /// reads the call's prompt and all prompts queued before it within
  /// `m_read_within`.
  bool m_can_be_on_time = true;
  Duration m_read_within{};
  /// How long the call may be queued if no slot is free; zero: not at all.
  Duration m_max_wait{};
  /// The entry's calls at the replica, without calls that still wait for a slot
  /// like this one. Each request includes them, so that the first request after
  /// a restart of either process corrects the counts of the target process.
  ReplicaCalls m_calls;
  /// Rank of the call, 0 is the most urgent; absent where all calls of the
  /// service have the same.
  std::optional<int> m_rank;
  /// Absent where organisations have no shares; empty if the call is made for
  /// no organisation.
  std::optional<std::string> m_organisation;
  /// Expected run time of the call; zero if unknown or if nothing depends on
  /// it.
  Duration m_run_time{};
  /// What the entry knows of the replica's statements.
  StatementReport m_statements;

  friend bool operator==(const SlotRequestMessage&,
                         const SlotRequestMessage&) = default;
};

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_SLOT_REQUEST_MESSAGE_H_
