#ifndef VERBENALEAD_LOAD_LOAD_OPTIONS_H_
#define VERBENALEAD_LOAD_LOAD_OPTIONS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/endpoint.h"

namespace verbenalead::load {

/// What the load program sends, to whom, and how often.
struct LoadOptions {
  /// Entries, or an engine; requests go to them in turn.
  std::vector<Endpoint> m_addresses;
  std::string m_path = "/v1/completions";
  std::string m_model = "m";
  std::string m_organisation = "acme";
  /// RFC 9218, such as "u=1"; empty: not sent.
  std::string m_priority;
  uint64_t m_tokens = 8;
  /// Prompts are drawn from so many that start differently.
  uint64_t m_prefixes = 1;
  size_t m_prompt_bytes = 64;
  bool m_stream = false;
  /// Not empty: non-idempotent, with keys that start like this.
  std::string m_key;
  int m_timeout_ms = 30000;
  /// Closed loop: so many callers, each waits for its answer.
  int m_callers = 1;
  /// Open loop at so many requests a second; 0: closed loop.
  double m_rate = 0;
  /// Open loop: past this many at once, a request is counted as not sent.
  int m_most_open = 10000;
  double m_seconds = 5;
  double m_warm_seconds = 0.5;
  uint64_t m_seed = 1;
};

}  // namespace verbenalead::load

#endif  // VERBENALEAD_LOAD_LOAD_OPTIONS_H_
