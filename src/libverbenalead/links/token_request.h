#ifndef VERBENALEAD_LINKS_TOKEN_REQUEST_H_
#define VERBENALEAD_LINKS_TOKEN_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>

#include "links/cold_report.h"
#include "links/rate_limit_report.h"

namespace verbenalead::links {

/// Request of an entry to the entry that holds the token bucket of a replica
/// with a rate limit: may one request be sent to the replica?
struct TokenRequest {
  std::string m_replica;
  uint64_t m_ticket = 0;
  /// What the sender knows about the limit. Included in each request, so that a
  /// holder that has just started or taken over knows it.
  RateLimitReport m_limit;
  /// What the sender knows of how long the replica is cold; absent: nothing.
  std::optional<ColdReport> m_cold;
  /// Start of the incarnation that they are about, in Unix milliseconds; 0 if
  /// it isn't known.
  uint64_t m_started_ms = 0;

  friend bool operator==(const TokenRequest&, const TokenRequest&) = default;
};

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_TOKEN_REQUEST_H_
