#ifndef VERBENALEAD_LOAD_LOAD_OPTIONS_H_
#define VERBENALEAD_LOAD_LOAD_OPTIONS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/endpoint.h"

namespace verbenalead::load {

/// Options of the load program: the requests, their destinations and the rate.
struct LoadOptions {
  /// Addresses of entries, or of an engine; requests go to them round-robin.
  std::vector<Endpoint> m_addresses;
  std::string m_path = "/v1/completions";
  std::string m_model = "m";
  std::string m_organisation = "acme";
  /// Value of the Priority header (RFC 9218), such as "u=1"; empty: no header.
  std::string m_priority;
  uint64_t m_tokens = 8;
  /// Number of distinct prefixes from which each prompt's beginning is chosen.
  uint64_t m_prefixes = 1;
  size_t m_prompt_bytes = 64;
  bool m_stream = false;
  /// Prefix of the idempotency keys. Empty: requests are idempotent and have no
  /// key.
  std::string m_key;
  int m_timeout_ms = 30000;
  /// Closed loop: number of concurrent callers, each of which waits for its
  /// response before it sends the next request.
  int m_callers = 1;
  /// Open loop: requests per second; 0: closed loop.
  double m_rate = 0;
  /// Open loop: maximum number of concurrent requests. A request that exceeds
  /// it is counted as not sent.
  int m_max_open = 10000;
  double m_seconds = 5;
  double m_warmup_seconds = 0.5;
  uint64_t m_seed = 1;
};

}  // namespace verbenalead::load

#endif  // VERBENALEAD_LOAD_LOAD_OPTIONS_H_
