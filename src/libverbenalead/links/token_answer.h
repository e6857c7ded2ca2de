#ifndef VERBENALEAD_LINKS_TOKEN_ANSWER_H_
#define VERBENALEAD_LINKS_TOKEN_ANSWER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "links/cold_report.h"
#include "links/rate_limit_report.h"

namespace verbenalead::links {

/// Answer to a TokenRequest.
struct TokenAnswer {
  std::string m_replica;
  uint64_t m_ticket = 0;
  bool m_granted = false;
  /// Denied: time after which the entry may ask again.
  Duration m_hold_off{};
  /// What the holder knows about the limit; absent if it knows of none.
  std::optional<RateLimitReport> m_limit;
  /// What the sender knows of how long the replica is cold; absent: nothing.
  std::optional<ColdReport> m_cold;
  /// Start of the incarnation that they are about, in Unix milliseconds; 0 if
  /// it isn't known.
  uint64_t m_started_ms = 0;

  friend bool operator==(const TokenAnswer&, const TokenAnswer&) = default;
};

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_TOKEN_ANSWER_H_
