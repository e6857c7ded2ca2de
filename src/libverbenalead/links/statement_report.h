#ifndef VERBENALEAD_LINKS_STATEMENT_REPORT_H_
#define VERBENALEAD_LINKS_STATEMENT_REPORT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "decide/placement/known_statements.h"
#include "links/cold_report.h"
#include "links/rate_limit_report.h"

namespace verbenalead::links {

/// What the sender of a message knows of the statements of a replica that bind
/// others too.
struct StatementReport {
  /// Absent: no rate limit is known.
  std::optional<RateLimitReport> m_rate_limit;
  /// Start of the incarnation that is leaving, in Unix milliseconds, 0 if the
  /// replica doesn't tell its start; absent: it isn't known to be leaving.
  std::optional<uint64_t> m_leaving;
  /// Absent: it isn't known to be, or to have been, cold.
  std::optional<ColdReport> m_cold;
  /// Start of the incarnation that the limit, the cold state and, in a
  /// ReplicaUpdate, all else is about, in Unix milliseconds; 0 if it isn't
  /// known or nothing is reported of it.
  uint64_t m_started_ms = 0;

  friend bool operator==(const StatementReport&,
                         const StatementReport&) = default;
};

/// The report about the replica `m_replica`.
struct ReplicaStatementReport {
  std::string m_replica;
  StatementReport m_report;
  /// Host of the entry that the sender takes for the holder of the replica's
  /// token bucket; empty: not stated.
  std::string m_holder;

  friend bool operator==(const ReplicaStatementReport&,
                         const ReplicaStatementReport&) = default;
};

/// The report of `known`, which is about the incarnation that began at
/// `started_ms`.
StatementReport ReportOf(const decide::KnownStatements& known,
                         uint64_t started_ms,
                         TimePoint now);

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_STATEMENT_REPORT_H_
